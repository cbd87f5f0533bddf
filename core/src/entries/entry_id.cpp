#include <peridotward/core/entries/entry_id.hpp>

#include <charconv>
#include <cstdint>

namespace peridotward {

std::optional<wall_time> issue_time(std::string_view request_id) noexcept
{
    std::int64_t count = 0;
    const auto* end = request_id.data() + request_id.size();
    const auto [last, code] = std::from_chars(request_id.data(), end, count);
    const bool has_rest = last != end && *last == '-' && last + 1 != end;
    if (code != std::errc{} || !has_rest || count < 0)
        return std::nullopt;
    return wall_time{milliseconds{count}};
}

} // namespace peridotward
