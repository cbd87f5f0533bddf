#pragma once

#include "upstreams/upstream_client.hpp"

#include <peridotward/config/bundle.hpp>
#include <peridotward/core/query/attempt.hpp>

#include <functional>
#include <span>
#include <string>

namespace peridotward {

/// Data that all attempts of one query share.
struct query_context
{
    query_id query{};
    bundle_ptr in_force;
    std::string criteria; ///< JSON text.
    caller_priority priority = caller_priority::normal;
};

/// Sends the attempts of queries to upstreams, directly or through the
/// instances that own the upstreams.
class attempt_transport
{
public:
    /// Called on the loop's thread once for each attempt passed to `send`, even
    /// if it was cancelled, and never from within `send` or `cancel`.
    using completion = std::function<void(const attempt&, shard_response)>;

    attempt_transport() = default;
    attempt_transport(const attempt_transport&) = delete;
    attempt_transport& operator=(const attempt_transport&) = delete;
    virtual ~attempt_transport() = default;

    virtual void
    send(const query_context& context, std::span<const attempt> attempts) = 0;
    virtual void cancel(std::span<const attempt_id> attempts) = 0;

    /// \returns The request id that upstreams see for an attempt.
    [[nodiscard]] virtual std::string request_id_of(attempt_id id) const = 0;

    void set_completion_handler(completion handler)
    {
        completion_ = std::move(handler);
    }

protected:
    void
    notify_completed(const attempt& completed, shard_response response) const
    {
        completion_(completed, std::move(response));
    }

private:
    completion completion_;
};

} // namespace peridotward
