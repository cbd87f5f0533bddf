#pragma once

#include <peridotward/base/endpoint.hpp>
#include <peridotward/core/query/attempt.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace peridotward {

/// \brief Stable name of something that one instance at a time may use: the
/// hash of an upstream's id.
enum class resource_id : std::uint64_t
{
};

/// \brief Counts the starts of one seat; a later start has a higher number
/// (milliseconds since the Unix epoch at the start).
using incarnation_number = std::uint64_t;

/// \brief What one instance believes of another.
enum class member_state : std::uint8_t
{
    alive,
    suspect, ///< Missed probes; will be dead unless it answers.
    leaving, ///< In its graceful shutdown; takes no new work.
    dead,
};

template<>
struct name_table<member_state>
{
    static constexpr std::array entries{
        std::pair{member_state::alive, std::string_view{"alive"}},
        std::pair{member_state::suspect, std::string_view{"suspect"}},
        std::pair{member_state::leaving, std::string_view{"leaving"}},
        std::pair{member_state::dead, std::string_view{"dead"}},
    };
};

/// \brief How much of what it can do an instance does.
enum class member_load : std::uint8_t
{
    calm,
    busy, ///< Work waits now and then; takes what it gets, not more.
    full, ///< Work waits; callers are better served elsewhere.
};

template<>
struct name_table<member_load>
{
    static constexpr std::array entries{
        std::pair{member_load::calm, std::string_view{"calm"}},
        std::pair{member_load::busy, std::string_view{"busy"}},
        std::pair{member_load::full, std::string_view{"full"}},
    };
};

/// \brief One belief about one instance, as it spreads.
struct member_update
{
    std::string id; ///< The seat.
    incarnation_number incarnation = 0;
    std::uint32_t refutation = 0; ///< Raised to answer a suspicion.
    member_state state = member_state::alive;
    bool ready = false; ///< Whether it serves callers.
    std::string domain;
    endpoint peers;
    endpoint callers;
    std::uint32_t capacity = 0; ///< Thousandths of a core; 0: not told.
    member_load load = member_load::calm;
};

/// \brief What an instance has in force; rides on every probe.
struct config_summary
{
    std::uint64_t version = 0; ///< 0 before any bundle.
    std::string digest;
    std::uint64_t list_version = 0;
};

/// \brief Asks whether an instance is alive.
struct probe
{
    std::uint64_t sequence = 0;
    std::string on_behalf_of; ///< Who asked for an indirect probe, or empty.
    config_summary config;
    std::vector<member_update> updates;
};

/// \brief Answers a probe.
struct probe_ack
{
    std::uint64_t sequence = 0;
    std::string on_behalf_of;
    config_summary config;
    std::vector<member_update> updates;
};

/// \brief Asks a third instance to probe `target`.
struct probe_request
{
    std::uint64_t sequence = 0;
    std::string target;
};

/// \brief Asks a voter for leases, for the time told by both sides' settings.
struct lease_request
{
    std::uint64_t round = 0;
    std::uint64_t bundle_version = 0;
    incarnation_number incarnation = 0;
    std::vector<resource_id> wanted;
    std::vector<resource_id> released;
};

/// \brief A voter's answer; resources of the request in neither list are
/// refused without a known holder.
struct lease_reply
{
    std::uint64_t round = 0;
    std::uint64_t bundle_version = 0;
    incarnation_number incarnation = 0;
    std::vector<resource_id> granted;
    std::vector<resource_id> held; ///< Granted to another instance.
};

/// \brief One attempt handed to the instance that may use the upstream.
struct sub_attempt
{
    attempt_id id{};
    resource_id upstream{};
    key_range range;
    snapshot_id snapshot = 0;
    bool hedge = false;
};

/// \brief The attempts of one query that one instance carries out.
struct sub_request
{
    std::uint64_t bundle_version = 0;
    std::uint32_t budget_us = 0; ///< Time left at the sender.
    caller_priority priority = caller_priority::normal;
    std::string criteria; ///< JSON text.
    std::vector<sub_attempt> attempts;
};

/// \brief Withdraws attempts.
struct sub_cancel
{
    std::vector<attempt_id> attempts;
};

/// \brief The end of one attempt; `body` is the upstream's own, unchecked.
struct sub_reply
{
    attempt_id id{};
    attempt_outcome outcome = attempt_outcome::not_sent;
    bool sent = false;
    bool not_owner = false; ///< The receiver may not use the upstream.
    std::uint16_t status = 0;
    std::uint32_t elapsed_us = 0;
    std::uint32_t free_slots = 0; ///< Of the upstream, after this attempt.
    upstream_report report;
    std::string body;
};

/// \brief What is done with a single record.
enum class record_action : std::uint8_t
{
    fetch,  ///< Idempotent read by key.
    append, ///< Non-idempotent entry.
};

template<>
struct name_table<record_action>
{
    static constexpr std::array entries{
        std::pair{record_action::fetch, std::string_view{"fetch"}},
        std::pair{record_action::append, std::string_view{"append"}},
    };
};

/// \brief A request for a single record, handed to the owner of an upstream.
struct record_request
{
    std::uint64_t id = 0; ///< Unique within the sender's life.
    std::uint64_t bundle_version = 0;
    std::uint32_t budget_us = 0;
    record_action action = record_action::fetch;
    resource_id upstream{};
    std::string request_id; ///< The caller's.
    std::string text;       ///< Key of a fetch, JSON of an entry.
};

/// \brief The end of a request for a single record.
struct record_reply
{
    std::uint64_t id = 0;
    attempt_outcome outcome = attempt_outcome::not_sent;
    bool sent = false;
    bool duplicate = false; ///< Not run: the id was seen before.
    bool expired = false;   ///< Not run: the owner cannot know the id.
    std::uint16_t status = 0;
    std::string body;
};

/// \brief What an owner last saw of its upstreams.
struct upstream_report_batch
{
    struct entry
    {
        resource_id upstream{};
        upstream_report report;
    };
    std::vector<entry> entries;
};

/// \brief Asks for parts of a bundle by their digests; an empty digest list
/// asks for the manifest of `version`, and with version 0 for the version in
/// force at the receiver.
struct config_fetch
{
    std::uint64_t version = 0;
    std::vector<std::string> digests;
};

/// \brief Carries a manifest (empty digest) or one part.
///
/// \remarks Without bytes, a manifest tells that `version` is in force at the
/// sender, and a part tells that the sender does not have it.
struct config_part
{
    std::uint64_t version = 0;
    std::string digest;
    std::string bytes;
};

/// \brief Everything that instances say to each other.
using peer_message = std::variant<
    probe,
    probe_ack,
    probe_request,
    lease_request,
    lease_reply,
    sub_request,
    sub_cancel,
    sub_reply,
    record_request,
    record_reply,
    upstream_report_batch,
    config_fetch,
    config_part>;

/// \brief A message and the seat it goes to.
struct outgoing_message
{
    std::string to;
    peer_message message;
};

} // namespace peridotward
