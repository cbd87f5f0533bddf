#include <peridotward/gateway/retry_after.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace peridotward {

std::optional<milliseconds> parse_retry_after(std::string_view text)
{
    double seconds = 0;
    const auto* const last = text.data() + text.size();
    const auto [end, error] =
        std::from_chars(text.data(), last, seconds, std::chars_format::fixed);
    if (error == std::errc::result_out_of_range && end == last)
        return max_retry_after;
    if (error != std::errc{} || end != last || !std::isfinite(seconds) ||
        std::signbit(seconds))
        return std::nullopt;
    const auto longest = std::chrono::duration<double>{max_retry_after}.count();
    return std::chrono::ceil<milliseconds>(
        std::chrono::duration<double>{std::min(seconds, longest)});
}

} // namespace peridotward
