#include <peridotward/base/object_reader.hpp>

namespace peridotward {

namespace {

/// Max bytes of an invalid value in an error message.
constexpr std::size_t max_excerpt_bytes = 80;

std::string excerpt_of(const json& value)
{
    auto text = value.dump();
    if (text.size() > max_excerpt_bytes) {
        text.resize(max_excerpt_bytes);
        text += "...";
    }
    return text;
}

} // namespace

object_reader::object_reader(const json& value, std::string path)
    : value_{&value}, path_{std::move(path)}
{
    if (!value.is_object())
        throw invalid_document{
            path_ + ": expected an object, found " + value.type_name()};
}

bool object_reader::has(std::string_view key) const
{
    return value_->contains(key);
}

const json& object_reader::member(std::string_view key)
{
    read_keys_.emplace(key);
    const auto found = value_->find(key);
    if (found == value_->end())
        throw_invalid(key, "is missing");
    return *found;
}

std::string object_reader::text(std::string_view key)
{
    const auto& value = member(key);
    if (!value.is_string() || value.get_ref<const std::string&>().empty())
        throw_invalid(
            key, "expected a non-empty string, found " + excerpt_of(value));
    return value.get<std::string>();
}

std::string
object_reader::text_or(std::string_view key, std::string_view fallback)
{
    return has(key) ? text(key) : std::string{fallback};
}

std::int64_t object_reader::integer(
    std::string_view key, std::int64_t low, std::int64_t high)
{
    const auto& value = member(key);
    const bool fits =
        value.is_number_integer() &&
        (!value.is_number_unsigned() ||
         value.get<std::uint64_t>() <= static_cast<std::uint64_t>(high)) &&
        value.get<std::int64_t>() >= low && value.get<std::int64_t>() <= high;
    if (!fits)
        throw_invalid(
            key,
            "expected an integer in " + std::to_string(low) + ".." +
                std::to_string(high) + ", found " + excerpt_of(value));
    return value.get<std::int64_t>();
}

std::int64_t object_reader::integer_or(
    std::string_view key,
    std::int64_t low,
    std::int64_t high,
    std::int64_t fallback)
{
    return has(key) ? integer(key, low, high) : fallback;
}

double object_reader::number(std::string_view key, double low, double high)
{
    const auto& value = member(key);
    const bool fits = value.is_number() && value.get<double>() >= low &&
                      value.get<double>() <= high;
    if (!fits)
        throw_invalid(
            key,
            "expected a number in " + std::to_string(low) + ".." +
                std::to_string(high) + ", found " + excerpt_of(value));
    return value.get<double>();
}

double object_reader::number_or(
    std::string_view key, double low, double high, double fallback)
{
    return has(key) ? number(key, low, high) : fallback;
}

bool object_reader::flag_or(std::string_view key, bool fallback)
{
    if (!has(key))
        return fallback;
    const auto& value = member(key);
    if (!value.is_boolean())
        throw_invalid(
            key, "expected true or false, found " + excerpt_of(value));
    return value.get<bool>();
}

const json& object_reader::array(std::string_view key)
{
    const auto& value = member(key);
    if (!value.is_array())
        throw_invalid(key, "expected an array, found " + excerpt_of(value));
    return value;
}

object_reader object_reader::object(std::string_view key)
{
    return object_reader{member(key), path_of(key)};
}

void object_reader::finish() const
{
    for (const auto& [key, value] : value_->items()) {
        if (!read_keys_.contains(key))
            throw_invalid(key, "is not a known key");
    }
}

void object_reader::throw_invalid(
    std::string_view key, std::string_view reason) const
{
    throw invalid_document{path_of(key) + ": " + std::string{reason}};
}

std::string object_reader::path_of(std::string_view key) const
{
    return path_.empty() ? std::string{key} : path_ + "." + std::string{key};
}

} // namespace peridotward
