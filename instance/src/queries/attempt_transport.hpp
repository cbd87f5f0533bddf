#pragma once

#include "upstreams/upstream_client.hpp"

#include <peridotward/config/bundle.hpp>
#include <peridotward/core/query/attempt.hpp>

#include <functional>
#include <span>
#include <string>

namespace peridotward {

/// What the attempts of one query have in common.
struct query_context
{
    query_id query{};
    bundle_ptr in_force;
    std::string criteria; ///< JSON text.
    caller_priority priority = caller_priority::normal;
};

/// Carries the attempts of searches to upstreams, here or through others.
class attempt_transport
{
public:
    /// Called on the loop's thread, once for each attempt sent, even when it
    /// was cancelled, and never from within `send` or `cancel`.
    using completion = std::function<void(const attempt&, shard_response)>;

    attempt_transport() = default;
    attempt_transport(const attempt_transport&) = delete;
    attempt_transport& operator=(const attempt_transport&) = delete;
    virtual ~attempt_transport() = default;

    virtual void
    send(const query_context& job, std::span<const attempt> attempts) = 0;
    virtual void cancel(std::span<const attempt_id> attempts) = 0;

    /// \returns The name under which upstreams know an attempt.
    [[nodiscard]] virtual std::string name_of_attempt(attempt_id id) const = 0;

    void on_end(completion handler) { done_ = std::move(handler); }

protected:
    void ended(const attempt& which, shard_response response) const
    {
        done_(which, std::move(response));
    }

private:
    completion done_;
};

} // namespace peridotward
