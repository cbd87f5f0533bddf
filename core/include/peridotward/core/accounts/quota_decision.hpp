#pragma once

#include <peridotward/base/names.hpp>
#include <peridotward/base/time.hpp>

#include <array>
#include <cstdint>
#include <string_view>
#include <utility>

namespace peridotward {

/// \brief Whether a request is within the quota of its account.
enum class quota_outcome : std::uint8_t
{
    admitted, ///< Charged to the quota.
    refused,  ///< Beyond the quota.
    waiting,  ///< Other instances are asked for a credit; try again.
};

template<>
struct name_table<quota_outcome>
{
    static constexpr std::array entries{
        std::pair{quota_outcome::admitted, std::string_view{"admitted"}},
        std::pair{quota_outcome::refused, std::string_view{"refused"}},
        std::pair{quota_outcome::waiting, std::string_view{"waiting"}},
    };
};

/// \brief Result of `account_quotas::try_acquire`.
struct quota_decision
{
    quota_outcome outcome = quota_outcome::admitted;
    /// Of a refused request: when its caller may try again; of one that waits:
    /// when it must try again at the latest.
    time_point retry_at;
};

} // namespace peridotward
