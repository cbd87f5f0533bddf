#pragma once

#include <peridotward/core/routing/forward_config.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace peridotward {

/// \brief Why a request is admitted to its route, or not.
enum class authentication_outcome : std::uint8_t
{
    accepted,    ///< With the account, if any.
    no_key,      ///< The route needs a key, and the request has none.
    malformed,   ///< Not one field with the scheme and one key.
    unknown_key, ///< No account of the configuration holds the key.
};

template<>
struct name_table<authentication_outcome>
{
    static constexpr std::array entries{
        std::pair{
            authentication_outcome::accepted, std::string_view{"accepted"}},
        std::pair{authentication_outcome::no_key, std::string_view{"no_key"}},
        std::pair{
            authentication_outcome::malformed, std::string_view{"malformed"}},
        std::pair{
            authentication_outcome::unknown_key,
            std::string_view{"unknown_key"}},
    };
};

/// \brief The credentials of a request.
struct request_credentials
{
    std::size_t fields = 0; ///< Number of credential fields in the request.
    std::string_view value; ///< Of the first one.
    /// Scheme before the key, compared without regard to case.
    std::string_view scheme;
};

/// \brief Result of `authenticate`.
struct authentication
{
    authentication_outcome outcome = authentication_outcome::accepted;
    /// The account that holds the key; null if the route needs none and the
    /// request names none.
    client_account_ptr account;
};

/// \brief Decides whether a request may use `route` with the keys of `config`.
///
/// \remarks On a route that is open to all, or without any accounts, every
/// request is accepted; a known key names its account all the same.
[[nodiscard]] authentication authenticate(
    const forward_config_ptr& config,
    const forward_route& route,
    const request_credentials& credentials);

} // namespace peridotward
