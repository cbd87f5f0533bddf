#pragma once

#include <peridotward/base/json.hpp>

#include <concepts>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace peridotward {

/// \brief Thrown for an invalid document; the message names path and value.
class invalid_document : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// \brief Reads and checks the members of one JSON object.
///
/// \remarks All functions that read a member throw `invalid_document` if its
/// type or value is wrong. `finish` rejects members that were not read.
class object_reader
{
public:
    /// \param path Path of the object in the document, for error messages.
    ///
    /// \throws invalid_document if `value` is not an object.
    object_reader(const json& value, std::string path);

    [[nodiscard]] const std::string& path() const noexcept { return path_; }
    [[nodiscard]] bool has(std::string_view key) const;

    /// \returns The member `key`, which must exist.
    [[nodiscard]] const json& member(std::string_view key);

    /// \returns A string member, which must not be empty.
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

    /// \returns The value of `Enum` that a member names, or `fallback` if the
    /// object lacks the member.
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

    /// \brief Throws if the object has members that were not read.
    void finish() const;

    /// \brief Throws `invalid_document` with the path of `key` and `reason`.
    [[noreturn]] void
    throw_invalid(std::string_view key, std::string_view reason) const;

private:
    [[nodiscard]] std::string path_of(std::string_view key) const;

    const json* value_;
    std::string path_;
    std::set<std::string, std::less<>> read_keys_;
};

} // namespace peridotward
