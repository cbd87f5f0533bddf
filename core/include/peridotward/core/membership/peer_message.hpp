#pragma once

#include <peridotward/base/endpoint.hpp>
#include <peridotward/core/quarantine/crash_record.hpp>
#include <peridotward/core/query/attempt.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace peridotward {

/// \brief Stable id of a resource that one instance at a time may use: the
/// hash of an upstream's id.
enum class resource_id : std::uint64_t
{
};

/// \brief Identifies one start of an instance: milliseconds since the Unix
/// epoch at the start, so a later start has a higher number.
using incarnation_number = std::uint64_t;

/// \brief State of a member as another instance knows it.
enum class member_state : std::uint8_t
{
    alive,
    suspect, ///< Did not answer probes; becomes dead unless it answers.
    leaving, ///< In its graceful shutdown; accepts no new requests.
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

/// \brief Load of an instance relative to its capacity.
enum class member_load : std::uint8_t
{
    calm,
    busy, ///< Requests wait at times; should get no additional callers.
    full, ///< Requests wait; other instances serve callers sooner.
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

/// \brief The state of one instance as gossip distributes it.
struct member_update
{
    std::string id; ///< Instance id.
    incarnation_number incarnation = 0;
    std::uint32_t refutation = 0; ///< Incremented to refute a suspicion.
    member_state state = member_state::alive;
    bool ready = false; ///< Whether it serves callers.
    std::string domain;
    endpoint peers;
    endpoint callers;
    std::uint32_t capacity = 0; ///< In thousandths of a core; 0: unknown.
    member_load load = member_load::calm;
};

/// \brief The configuration that an instance has in force; part of every
/// probe.
struct config_summary
{
    std::uint64_t version = 0; ///< Of the bundle; 0 before the first.
    std::string digest;
    std::uint64_t list_version = 0; ///< Of the published instance list.
};

/// \brief Asks whether an instance is alive.
struct probe
{
    std::uint64_t sequence = 0;
    std::string on_behalf_of; ///< Requester of an indirect probe, or empty.
    config_summary config;
    std::vector<member_update> updates;
};

/// \brief Answers a probe.
struct probe_ack
{
    std::uint64_t sequence = 0;
    /// As in the probe; in an answer that a third instance relays, the probed
    /// instance.
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

/// \brief Requests leases from a voter. Their duration is not part of the
/// message: all instances share `fleet_timing`.
struct lease_request
{
    std::uint64_t round = 0;
    std::uint64_t bundle_version = 0;
    incarnation_number incarnation = 0;
    std::vector<resource_id> wanted;
    std::vector<resource_id> released;
};

/// \brief A voter's answer to a `lease_request`; resources of the request that
/// are in neither list are refused and have no known holder.
struct lease_reply
{
    std::uint64_t round = 0;
    std::uint64_t bundle_version = 0;
    incarnation_number incarnation = 0;
    std::vector<resource_id> granted;
    std::vector<resource_id> held; ///< Granted to another instance.
};

/// \brief One attempt for the instance that holds the lease of the upstream.
struct sub_attempt
{
    attempt_id id{};
    resource_id upstream{};
    key_range range;
    snapshot_id snapshot = 0;
    bool hedge = false;
};

/// \brief The attempts of one query that one instance sends to upstreams.
struct sub_request
{
    std::uint64_t bundle_version = 0;
    std::uint32_t budget_us = 0; ///< Remaining time of the query when sent.
    caller_priority priority = caller_priority::normal;
    std::string criteria; ///< JSON text.
    std::vector<sub_attempt> attempts;
};

/// \brief Cancels attempts.
struct sub_cancel
{
    std::vector<attempt_id> attempts;
};

/// \brief The result of one attempt; `body` is the upstream's unchecked answer.
struct sub_reply
{
    attempt_id id{};
    attempt_outcome outcome = attempt_outcome::not_sent;
    bool sent = false;
    bool not_owner = false; ///< The receiver lacks the upstream's lease.
    std::uint16_t status = 0;
    std::uint32_t elapsed_us = 0;
    std::uint32_t free_slots = 0; ///< Of the upstream, after this attempt.
    upstream_report report;
    std::string body;
};

/// \brief Operation on a single record.
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

/// \brief A request for a single record, sent to the owner of an upstream.
struct record_request
{
    std::uint64_t id = 0; ///< Unique within the sender's incarnation.
    std::uint64_t bundle_version = 0;
    std::uint32_t budget_us = 0; ///< Remaining time of the request when sent.
    record_action action = record_action::fetch;
    resource_id upstream{};
    std::string request_id; ///< The caller's.
    std::string text;       ///< Key for a fetch, JSON text for an append.
};

/// \brief The result of a request for a single record.
struct record_reply
{
    std::uint64_t id = 0;
    attempt_outcome outcome = attempt_outcome::not_sent;
    bool sent = false;
    bool duplicate = false; ///< Not run: the request id is already known.
    bool expired = false;   ///< Not run: the id may already be forgotten.
    std::uint16_t status = 0;
    std::string body;
};

/// \brief The latest reports of the upstreams that the sender owns.
struct upstream_report_batch
{
    struct entry
    {
        resource_id upstream{};
        upstream_report report;
    };
    std::vector<entry> entries;
};

/// \brief Requests parts of a bundle by digest. An empty digest list requests
/// the manifest of `version`, or, when `version` is 0, the number of the
/// version in force at the receiver.
struct config_fetch
{
    std::uint64_t version = 0;
    std::vector<std::string> digests;
};

/// \brief Carries a manifest (empty digest) or one part.
///
/// \remarks A manifest without bytes only reports that `version` is in force at
/// the sender; a part without bytes reports that the sender lacks the part.
struct config_part
{
    std::uint64_t version = 0;
    std::string digest;
    std::string bytes;
};

/// \brief Asks an instance for requests of its share of a replica's rate limit.
struct rate_share_request
{
    std::uint64_t sequence = 0;
    std::string replica; ///< Id of the replica.
    /// Requests within `rate_share::window` beyond those already granted; 0
    /// renews these.
    std::uint32_t wanted = 0;
    /// The limit as the sender knows it, in thousandths of a request a second.
    std::uint64_t limit_milli = 0;
};

/// \brief Answers a `rate_share_request`.
struct rate_share_grant
{
    std::uint64_t sequence = 0;
    std::string replica;
    /// All requests within `rate_share::window` that the receiver now has from
    /// the sender; 0 if the sender renews and grants none.
    std::uint32_t granted = 0;
    bool limited = true; ///< False: the replica has ceased to name a limit.
};

/// \brief Tells of requests that crash upstreams.
struct crash_records
{
    bool wanted = false; ///< The sender asks for all records.
    /// With this message the receiver has all records that the sender has, and
    /// the sender has missed none.
    bool complete = false;
    std::vector<crash_record> records;
};

/// \brief What replicas reported of their load to the sender.
struct load_reports
{
    std::string services; ///< Names the set of services.
    bool wanted = false;  ///< The sender wants the receiver's reports.
    /// In units of `load_report_exchange`: the share of the requests that the
    /// sender admits, and the mean utilization of all services in the last
    /// moments with the weight of its reports.
    std::uint32_t share = 0;
    std::uint32_t mean = 0;
    std::uint32_t weight = 0;
    /// By service, one byte each: the same over a longer time.
    std::string means;
    std::string weights;
};

/// \brief Asks a granter for credits of an account's quota, and returns credits
/// that it granted before and that have not been used.
struct credit_request
{
    /// Increases from one request of the sender to the next.
    std::uint64_t sequence = 0;
    std::string account; ///< Name of the account.
    /// In thousandths of a request.
    std::uint32_t wanted_milli = 0;
    std::uint32_t returned_milli = 0;
    /// Time since the returned credits were granted, at least.
    std::uint32_t returned_age_ms = 0;
};

/// \brief Answers a `credit_request` that wants credits.
struct credit_grant
{
    std::uint64_t sequence = 0;
    std::string account;
    std::uint32_t granted_milli = 0; ///< In thousandths of a request.
    /// Credits that the sender still has, in thousandths of a request.
    std::uint32_t level_milli = 0;
};

/// \brief All messages between instances.
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
    config_part,
    rate_share_request,
    rate_share_grant,
    crash_records,
    load_reports,
    credit_request,
    credit_grant>;

/// \brief A message and the id of the instance to send it to.
struct outgoing_message
{
    std::string to;
    peer_message message;
};

} // namespace peridotward
