#pragma once

#include "queries/attempt_transport.hpp"
#include "upstreams/upstream_executor.hpp"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace peridotward {

/// Sends attempts to the instances that hold the leases of their upstreams.
/// Each call of `send` makes one message per remote owner; attempts on
/// upstreams that this instance holds are executed here.
class attempt_router final : public attempt_transport
{
public:
    attempt_router(fleet_runner& fleet, upstream_executor& executor);

    void send(const query_context& context, std::span<const attempt> attempts)
        override;
    void cancel(std::span<const attempt_id> attempts) override;
    [[nodiscard]] std::string request_id_of(attempt_id id) const override;

    [[nodiscard]] std::size_t pending() const noexcept
    {
        return pending_.size();
    }

private:
    using context_ptr = std::shared_ptr<const query_context>;

    struct pending_attempt
    {
        attempt spec;
        context_ptr context;
        resource_id upstream{};
        std::string owner;
        delivery_ticket ticket = 0; ///< 0 when executed here.
        execution_id execution{};
        bool rerouted = false;
    };
    using owner_groups = std::map<std::string, std::vector<attempt_id>>;

    void route(pending_attempt& pending, owner_groups& remote);
    void execute_locally(pending_attempt& pending);
    void send_to(
        const std::string& owner,
        const query_context& context,
        const std::vector<attempt_id>& ids);
    void on_reply(const peer_process& from, sub_reply reply);
    [[nodiscard]] bool
    reroute(pending_attempt& pending, const std::string& from);
    void on_unsent(const std::string& instance_id, delivery_ticket ticket);
    void on_connection_lost(const std::string& instance_id);
    void expire_unanswered(const std::vector<attempt_id>& ids);
    void post_completion(attempt_id id, attempt_outcome outcome, bool sent);
    void complete(attempt_id id, shard_response response);

    fleet_runner* fleet_;
    upstream_executor* executor_;
    event_loop* loop_;
    std::unordered_map<std::uint64_t, pending_attempt> pending_;
};

/// \returns The request id that upstreams see for an attempt of `sender`.
[[nodiscard]] std::string
make_request_id(const peer_process& sender, attempt_id id);

} // namespace peridotward
