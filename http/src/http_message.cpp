#include <peridotward/http/http_message.hpp>

#include <algorithm>
#include <cctype>

namespace peridotward {

std::string_view
find_header(const http_headers& headers, std::string_view name) noexcept
{
    const auto equal_ignoring_case = [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    };
    for (const auto& [field, value] : headers) {
        if (std::equal(
                field.begin(),
                field.end(),
                name.begin(),
                name.end(),
                equal_ignoring_case))
            return value;
    }
    return {};
}

} // namespace peridotward
