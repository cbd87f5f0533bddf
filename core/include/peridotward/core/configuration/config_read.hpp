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

/// \brief What is read from the configuration service.
enum class config_read_kind : std::uint8_t
{
    manifest, ///< The manifest as it is.
    watch,    ///< The manifest, once it is newer than `after`.
    part,     ///< The part called `digest`.
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

/// \brief One read to make; its end must be reported in all cases.
struct config_read
{
    config_read_kind kind = config_read_kind::manifest;
    std::uint64_t after = 0; ///< The service's own number of the value.
    std::string digest;
};

/// \brief The end of one read.
struct config_read_result
{
    bool succeeded = false; ///< False when the call failed.
    std::uint64_t value_version = 0;
    std::string bytes;
};

/// \brief Something that was not taken, and why.
struct config_refusal
{
    error_kind kind = error_kind::internal;
    bundle_version version = 0;
    std::string source; ///< Seat of a peer, or "service".
    std::string message;
};

/// \brief What the caller of a `config_store` carries out.
struct config_actions
{
    std::vector<config_read> reads;
    std::vector<outgoing_message> messages;
    std::vector<config_refusal> refusals; ///< For the log.
    bundle_ptr accepted;                  ///< Newly in force, or null.
};

} // namespace peridotward
