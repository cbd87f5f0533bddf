#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace peridotward {

/// \brief Splits a JSON object that arrives in pieces into the elements of its
/// array members and the rest, so that only one element is held at a time.
///
/// \remarks Finds the ends of the elements only: the text of each element, and
/// the rest, are JSON if the whole text is.
class element_splitter
{
public:
    struct limits
    {
        /// In bytes. A longer element is skipped.
        std::size_t max_element = 0;
        /// In bytes, of all that belongs to no element.
        std::size_t max_rest = 0;
    };

    /// \param on_element Called with each element when it is complete. Returns
    /// whether to go on.
    element_splitter(
        limits bounds, std::function<bool(std::string_view)> on_element)
        : limits_{bounds}, on_element_{std::move(on_element)}
    {}

    /// \brief Takes the next bytes.
    ///
    /// \returns Whether the text can still be the start of an object; false
    /// also if the rest is too long or `on_element` has returned false.
    [[nodiscard]] bool add(std::string_view piece);

    /// \returns Whether the object is closed.
    [[nodiscard]] bool complete() const noexcept { return complete_; }

    /// \returns The object without the elements of its array members.
    [[nodiscard]] const std::string& rest() const noexcept { return rest_; }

    /// \returns The number of elements that were skipped.
    [[nodiscard]] std::size_t skipped() const noexcept { return skipped_; }

private:
    /// Depth of an element of an array member.
    static constexpr std::size_t element_depth = 2;

    void take(char letter);
    /// \brief Takes the part of `piece` from `at` that is inside of a string.
    /// \returns The position after it.
    std::size_t take_string(std::string_view piece, std::size_t at);
    void append(std::string_view text);
    void end_element();
    [[nodiscard]] bool in_element() const noexcept
    {
        return in_array_ && depth_ >= element_depth;
    }

    limits limits_;
    std::function<bool(std::string_view)> on_element_;
    std::string element_;
    std::string rest_;
    std::size_t depth_ = 0;
    std::size_t skipped_ = 0;
    bool in_array_ = false; ///< In an array that is a member of the object.
    bool in_string_ = false;
    bool escaped_ = false;
    bool skipping_ = false; ///< The present element is too long.
    bool complete_ = false;
    bool failed_ = false;
};

} // namespace peridotward
