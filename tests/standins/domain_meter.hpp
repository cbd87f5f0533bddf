#pragma once

#include <peridotward/base/json.hpp>

#include <algorithm>
#include <cstdint>

namespace peridotward::testing {

/// Counts the requests in flight on all upstreams of one failure domain.
class domain_meter
{
public:
    /// \param limit Max. requests in flight; 0 for no limit.
    explicit domain_meter(std::uint32_t limit) : limit_{limit} {}

    void enter() noexcept
    {
        max_ = std::max(max_, ++in_flight_);
        if (limit_ != 0 && in_flight_ > limit_)
            ++overruns_;
    }
    void leave() noexcept { --in_flight_; }

    [[nodiscard]] json to_json() const
    {
        return {
            {"in_flight", in_flight_},
            {"max_in_flight", max_},
            {"limit", limit_},
            {"overruns", overruns_}};
    }

private:
    std::uint32_t limit_;
    std::uint32_t in_flight_ = 0;
    std::uint32_t max_ = 0;
    std::uint64_t overruns_ = 0;
};

} // namespace peridotward::testing
