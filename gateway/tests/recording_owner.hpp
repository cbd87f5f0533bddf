#pragma once

#include <peridotward/gateway/upstream_pool.hpp>

#include <string>
#include <utility>
#include <vector>

namespace peridotward {

/// Sends requests to the replica 0 and records how they end.
class recording_owner final : public attempt_owner
{
public:
    [[nodiscard]] bool send(
        upstream_pool& pool,
        std::uint32_t attempt,
        std::uint32_t max_connections,
        seconds timeout)
    {
        upstream_request request;
        request.owner = this;
        request.attempt = attempt;
        request.request_id = request_id;
        request.expires_at = pool.loop().now() + timeout;
        return pool.send(0, std::move(request), {max_connections});
    }
    void on_attempt_written(std::uint32_t) override {}
    [[nodiscard]] std::string serialize_attempt(std::uint32_t) const override
    {
        return "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    }

    std::string request_id;
    std::vector<forward_outcome> ended;

private:
    void on_attempt_end(
        std::uint32_t, forward_outcome outcome, response_message*) override
    {
        ended.push_back(outcome);
    }
};

} // namespace peridotward
