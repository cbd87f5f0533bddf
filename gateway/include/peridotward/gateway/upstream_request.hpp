#pragma once

#include <peridotward/core/admission/send_queue.hpp>
#include <peridotward/core/gather/forwarded_request.hpp>
#include <peridotward/gateway/http_reader.hpp>
#include <peridotward/gateway/request_state.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstdint>
#include <string>

namespace peridotward {

/// \brief Takes the ends of attempts.
class attempt_owner : public request_state
{
public:
    /// \param answer Valid during the call; null unless the replica answered.
    virtual void on_attempt_end(
        std::uint32_t attempt,
        forward_outcome outcome,
        response_message* answer) = 0;

    /// \returns The whole request of an attempt that goes out now.
    [[nodiscard]] virtual std::string
    bytes_for(std::uint32_t attempt) const = 0;
};

/// \brief One request to one replica.
struct upstream_request
{
    boost::intrusive_ptr<attempt_owner> owner;
    std::uint32_t attempt = 0;
    send_urgency urgency;   ///< Decides who waits for a connection.
    std::string request_id; ///< Answers to other requests are not taken.
    time_point give_up_at;  ///< The replica has dropped the request by then.
    bool bodiless = false;  ///< The answer has no body (HEAD).
    bool fresh = false;     ///< Must not go out on a connection used before.
};

} // namespace peridotward
