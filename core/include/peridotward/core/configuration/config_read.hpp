#pragma once

#include <peridotward/base/error.hpp>
#include <peridotward/base/names.hpp>
#include <peridotward/config/bundle.hpp>
#include <peridotward/core/membership/peer_message.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotward {

/// \brief Kind of a read from the configuration service.
enum class config_read_kind : std::uint8_t
{
    manifest, ///< The current manifest.
    watch,    ///< The manifest as soon as its value is newer than `after`.
    part,     ///< The part with the digest `digest`.
};

template<>
struct name_table<config_read_kind>
{
    static constexpr std::array entries{
        std::pair{config_read_kind::manifest, std::string_view{"manifest"}},
        std::pair{config_read_kind::watch, std::string_view{"watch"}},
        std::pair{config_read_kind::part, std::string_view{"part"}},
    };
};

/// \brief One read to carry out; its result must be reported, also on failure.
struct config_read
{
    config_read_kind kind = config_read_kind::manifest;
    std::uint64_t after = 0; ///< Value version as the service numbers it.
    std::string digest;
};

/// \brief The result of one read.
struct config_read_result
{
    bool succeeded = false; ///< Whether `bytes` is the complete value.
    std::uint64_t value_version = 0;
    std::string bytes;
};

/// \brief A refused manifest, bundle or part, and the reason.
struct config_refusal
{
    error_kind kind = error_kind::internal;
    bundle_version version = 0;
    std::string source; ///< Instance id of a peer, or "service".
    std::string message;
};

/// \brief Actions that the caller of a `config_store` has to carry out.
struct config_actions
{
    std::vector<config_read> reads;
    std::vector<outgoing_message> messages;
    std::vector<config_refusal> refusals; ///< To be logged.
    bundle_ptr accepted; ///< The bundle that came into force, or null.
};

} // namespace peridotward
