#include <peridotward/base/log_text.hpp>

namespace peridotward {

namespace {

bool needs_quotes(std::string_view value)
{
    return value.empty() ||
           value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

} // namespace

void append_log_value(std::string& line, std::string_view value)
{
    if (!needs_quotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        line += c == '\n' || c == '\r' ? ' ' : c;
    }
    line += '"';
}

} // namespace peridotward
