#include "render.hpp"

#include <algorithm>

namespace peridotward::ctl {

namespace {

constexpr std::size_t indent_width = 2;

bool is_flat(const json& value)
{
    if (!value.is_structured())
        return true;
    return std::none_of(value.begin(), value.end(), [](const json& member) {
        return member.is_structured() && !member.empty() &&
               !(member.is_array() && member[0].is_primitive());
    });
}

std::string scalar_text(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string single_line_text(const json& value)
{
    if (!value.is_object())
        return scalar_text(value);
    std::string line;
    for (const auto& [key, member] : value.items()) {
        if (!line.empty())
            line += "  ";
        line += key + "=" + scalar_text(member);
    }
    return line;
}

void append(std::string& out, const json& value, std::size_t depth);

void append_member(
    std::string& out,
    const std::string& key,
    const json& value,
    std::size_t depth)
{
    out += std::string(depth * indent_width, ' ') + key + ":";
    if (!value.is_structured() || value.empty()) {
        out += " " + scalar_text(value) + "\n";
        return;
    }
    out += "\n";
    append(out, value, depth + 1);
}

void append(std::string& out, const json& value, std::size_t depth)
{
    const std::string indent(depth * indent_width, ' ');
    if (value.is_object()) {
        for (const auto& [key, member] : value.items())
            append_member(out, key, member, depth);
        return;
    }
    for (const auto& element : value) {
        if (is_flat(element)) {
            out += indent + single_line_text(element) + "\n";
            continue;
        }
        out += indent + "-\n";
        append(out, element, depth + 1);
    }
}

} // namespace

std::string render(const json& document)
{
    std::string out;
    append(out, document, 0);
    return out;
}

} // namespace peridotward::ctl
