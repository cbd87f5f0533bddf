#pragma once

#include <peridotward/base/names.hpp>
#include <peridotward/core/accounts/account_directory.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace peridotward {

/// \brief What a request can still be worth to its caller.
enum class request_freshness : std::uint8_t
{
    fresh, ///< Can be answered within its target latency.
    late,  ///< Has used its target latency up, for example in a first attempt.
};

template<>
struct name_table<request_freshness>
{
    static constexpr std::array entries{
        std::pair{request_freshness::fresh, std::string_view{"fresh"}},
        std::pair{request_freshness::late, std::string_view{"late"}},
    };
};

/// \brief Properties of a request that decide whether it is admitted.
struct admission_request
{
    std::int32_t priority = 0; ///< 0 is the most urgent.
    request_freshness freshness = request_freshness::fresh;
    std::size_t spare_parts = 0; ///< Services without which it succeeds.
    std::optional<account_index> account; ///< None: sent without an account.
};

} // namespace peridotward
