#pragma once

#include <peridotward/core/admission/send_queue.hpp>
#include <peridotward/core/gather/forwarded_request.hpp>
#include <peridotward/gateway/http_reader.hpp>
#include <peridotward/gateway/request_state.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstdint>
#include <limits>
#include <string>

namespace peridotward {

/// \brief Sends attempts and is called when each of them ends.
class attempt_owner : public request_state
{
public:
    /// \param answer Valid during the call; null if the replica didn't answer.
    virtual void on_attempt_end(
        std::uint32_t attempt,
        forward_outcome outcome,
        response_message* answer) = 0;

    /// \brief Called before the first bytes of an attempt are sent.
    virtual void on_attempt_written(std::uint32_t attempt) = 0;

    /// \returns The serialized request of an attempt that is sent now; holds
    /// the time that remains until its deadline.
    [[nodiscard]] virtual std::string
    serialize_attempt(std::uint32_t attempt) const = 0;
};

/// \brief Limits on the connections to one replica.
struct connection_limits
{
    std::uint32_t max_count = 1;
    duration max_idle = duration::max(); ///< Of each of them.
    /// Connections beyond it are closed when they are idle. At least
    /// `max_count`, which is lower while the replica is crowded.
    std::uint32_t max_open = std::numeric_limits<std::uint32_t>::max();
};

/// \brief One attempt of a request, sent to one replica.
struct upstream_request
{
    boost::intrusive_ptr<attempt_owner> owner;
    std::uint32_t attempt = 0;
    send_urgency urgency;   ///< Decides which requests wait for a connection.
    std::string request_id; ///< Answers with another id are skipped.
    time_point expires_at;  ///< Time at which the answer is no longer awaited.
    bool bodiless = false;  ///< The answer has no body (HEAD).
    /// Whether the attempt must not use a connection that was idle for long.
    bool recent_connection_only = false;
};

} // namespace peridotward
