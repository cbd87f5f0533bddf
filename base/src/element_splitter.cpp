#include <peridotward/base/element_splitter.hpp>

#include <algorithm>

namespace peridotward {

namespace {

bool is_space(char letter) noexcept
{
    return letter == ' ' || letter == '\t' || letter == '\n' || letter == '\r';
}

} // namespace

bool element_splitter::add(std::string_view piece)
{
    for (std::size_t at = 0; at < piece.size() && !failed_;) {
        if (in_string_)
            at = take_string(piece, at);
        else
            take(piece[at++]);
    }
    return !failed_;
}

std::size_t
element_splitter::take_string(std::string_view piece, std::size_t at)
{
    if (escaped_) {
        escaped_ = false;
        append(piece.substr(at, 1));
        return at + 1;
    }
    const auto quote = std::min(piece.find('"', at), piece.size());
    const auto end =
        at + std::min(piece.substr(at, quote - at).find('\\'), quote - at);
    append(piece.substr(at, end - at));
    if (end == piece.size())
        return end;
    append(piece.substr(end, 1));
    if (piece[end] == '"')
        in_string_ = false;
    else
        escaped_ = true;
    return end + 1;
}

void element_splitter::take(char letter)
{
    if (is_space(letter))
        return;
    const bool opens = letter == '{' || letter == '[';
    const bool closes = letter == '}' || letter == ']';
    if (complete_ || (depth_ == 0 && letter != '{')) {
        failed_ = true;
        return;
    }
    if (closes || letter == ',') {
        const bool ends_element = in_array_ && depth_ == element_depth;
        if (ends_element)
            end_element();
        if (ends_element && letter == ',')
            return;
        if (ends_element)
            in_array_ = false;
    }
    if (closes)
        --depth_;
    append({&letter, 1});
    if (opens) {
        ++depth_;
        in_array_ = in_array_ || (letter == '[' && depth_ == element_depth);
    }
    in_string_ = letter == '"';
    complete_ = depth_ == 0;
}

void element_splitter::append(std::string_view text)
{
    if (!in_element()) {
        rest_ += text;
        failed_ = failed_ || rest_.size() > limits_.max_rest;
        return;
    }
    skipping_ =
        skipping_ || element_.size() + text.size() > limits_.max_element;
    if (skipping_)
        element_.clear();
    else
        element_ += text;
}

void element_splitter::end_element()
{
    if (skipping_)
        ++skipped_;
    else if (!element_.empty())
        failed_ = !on_element_(element_);
    skipping_ = false;
    // Keeps no more than an ordinary element takes.
    constexpr std::size_t kept_bytes = 4096;
    if (element_.capacity() > kept_bytes)
        std::string{}.swap(element_);
    element_.clear();
}

} // namespace peridotward
