#include <peridotward/http/http_message.hpp>

#include <algorithm>
#include <cctype>

namespace peridotward {

std::string_view
find_header(const http_headers& headers, std::string_view name) noexcept
{
    const auto same = [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    };
    for (const auto& [field, value] : headers) {
        if (std::equal(
                field.begin(), field.end(), name.begin(), name.end(), same))
            return value;
    }
    return {};
}

} // namespace peridotward
