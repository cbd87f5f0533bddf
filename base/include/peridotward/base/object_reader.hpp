#pragma once

#include <peridotward/base/json.hpp>

#include <concepts>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace peridotward {

/// \brief Thrown while a document is read; its text names path and value.
class invalid_document : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// \brief Reads the members of one JSON object, strictly.
///
/// \remarks Each member must be asked for; `finish` reports the others.
class object_reader
{
public:
    /// \throws invalid_document when `value` is not an object.
    object_reader(const json& value, std::string path);

    [[nodiscard]] const std::string& path() const noexcept { return path_; }
    [[nodiscard]] bool has(std::string_view key) const;

    /// \returns The member, which must be there.
    [[nodiscard]] const json& member(std::string_view key);

    [[nodiscard]] std::string text(std::string_view key);
    [[nodiscard]] std::string
    text_or(std::string_view key, std::string_view fallback);

    /// \returns An integer member in `[low, high]`.
    [[nodiscard]] std::int64_t
    integer(std::string_view key, std::int64_t low, std::int64_t high);
    [[nodiscard]] std::int64_t integer_or(
        std::string_view key,
        std::int64_t low,
        std::int64_t high,
        std::int64_t fallback);

    /// \returns A number member in `[low, high]`.
    [[nodiscard]] double number(std::string_view key, double low, double high);
    [[nodiscard]] double
    number_or(std::string_view key, double low, double high, double fallback);

    [[nodiscard]] bool flag_or(std::string_view key, bool fallback);

    /// \returns The elements of an array member.
    [[nodiscard]] const json& array(std::string_view key);

    /// \returns A reader of an object member.
    [[nodiscard]] object_reader object(std::string_view key);

    /// \brief Reads a name from the table of `Enum`.
    template<class Enum>
    [[nodiscard]] Enum choice_or(std::string_view key, Enum fallback)
    {
        if (!has(key))
            return fallback;
        const auto name = text(key);
        if (const auto value = from_name<Enum>(name))
            return *value;
        throw_invalid(key, "\"" + name + "\" is not a known name");
    }

    /// \brief Throws when the object has members nobody asked for.
    void finish() const;

    /// \brief Throws with the path of `key` and `what`.
    [[noreturn]] void
    throw_invalid(std::string_view key, std::string_view what) const;

private:
    [[nodiscard]] std::string path_of(std::string_view key) const;

    const json* value_;
    std::string path_;
    std::set<std::string, std::less<>> read_keys_;
};

} // namespace peridotward
