#pragma once

#include <string>
#include <string_view>

namespace peridotward {

/// \brief Names of the platform's header fields, by their meaning.
struct header_names
{
    std::string request_id;  ///< Id of one attempt of a caller.
    std::string time_left;   ///< Milliseconds that the sender still waits.
    std::string expected_id; ///< Upstream to which a request is sent.
    std::string upstream_id; ///< Upstream that answers.
    std::string signature;   ///< Upstream's signature of its answer.
    std::string account;     ///< Client account of a request, for upstreams.
    std::string credentials; ///< Field with the key of a client account.
    std::string key_scheme;  ///< Word before the key in that field.
    std::string load;        ///< `running,waiting,slots[,speed]`.
    std::string not_run;     ///< The upstream did not run the request.
    std::string cold_left;   ///< Remaining milliseconds of a cold start.
    /// Requests a second that an upstream takes from all instances together.
    std::string rate_limit;
    std::string leaving;         ///< `1`: the upstream that answers is leaving.
    std::string part_signatures; ///< Signatures of the parts of an answer.
    std::string parts_missing;   ///< Number of parts left out of an answer.
    /// Only between instances. In a request: the caller's network address; the
    /// receiver doesn't relay it again. In an answer: the request has not run,
    /// since the sender reaches no upstream or has an older route.
    std::string relayed = "Peridotward-Relayed";
    /// Beside it in a request: version of the sender's configuration, and after
    /// a space the digest of the route in it.
    std::string relayed_config = "Peridotward-Relayed-Config";
    /// In an answer: the id of the upstream that sent it and, after a space,
    /// its start.
    std::string relayed_upstream = "Peridotward-Relayed-Upstream";
};

} // namespace peridotward
