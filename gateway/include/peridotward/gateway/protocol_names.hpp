#pragma once

#include <string>
#include <string_view>

namespace peridotward {

/// \brief The header fields that a platform uses, by what they hold.
struct protocol_names
{
    std::string request_id;      ///< Names one attempt of a caller.
    std::string time_left;       ///< Milliseconds that the sender will wait.
    std::string expected_id;     ///< Upstream that a request is meant for.
    std::string upstream_id;     ///< Upstream that answers.
    std::string signature;       ///< Upstream's proof of its answer.
    std::string load;            ///< Running, waiting, slots of an upstream.
    std::string not_run;         ///< The upstream did not run the request.
    std::string cold_left;       ///< Milliseconds left of a cold start.
    std::string part_signatures; ///< Signatures of the parts of an answer.
    std::string parts_missing;   ///< Number of parts left out of an answer.
};

} // namespace peridotward
