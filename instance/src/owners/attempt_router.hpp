#pragma once

#include "queries/attempt_transport.hpp"
#include "upstreams/upstream_executor.hpp"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace peridotward {

/// Carries attempts to the instances that hold their upstreams: one message
/// for each of them and call, or straight to the upstream where it is this
/// instance.
class attempt_router final : public attempt_transport
{
public:
    attempt_router(fleet_runner& fleet, upstream_executor& executor);

    void
    send(const query_context& job, std::span<const attempt> attempts) override;
    void cancel(std::span<const attempt_id> attempts) override;
    [[nodiscard]] std::string name_of_attempt(attempt_id id) const override;

    [[nodiscard]] std::size_t pending() const noexcept
    {
        return pending_.size();
    }

private:
    using job_ptr = std::shared_ptr<const query_context>;

    struct carried
    {
        attempt wanted;
        job_ptr job;
        resource_id upstream{};
        std::string owner;
        delivery_ticket ticket = 0; ///< 0 when carried out here.
        execution_id work{};
        bool rerouted = false;
    };
    using owner_map = std::map<std::string, std::vector<attempt_id>>;

    void route(carried& each, owner_map& remote);
    void run_here(carried& each);
    void send_to(
        const std::string& owner,
        const query_context& job,
        const std::vector<attempt_id>& ids);
    void on_reply(const peer_process& from, sub_reply reply);
    [[nodiscard]] bool reroute(carried& each, const std::string& from);
    void on_unsent(const std::string& seat, delivery_ticket ticket);
    void on_lost(const std::string& seat);
    void end_overdue(const std::vector<attempt_id>& ids);
    void end_later(attempt_id id, attempt_outcome outcome, bool sent);
    void end_now(attempt_id id, shard_response response);

    fleet_runner* fleet_;
    upstream_executor* executor_;
    event_loop* loop_;
    std::unordered_map<std::uint64_t, carried> pending_;
};

/// \returns The name under which upstreams know an attempt of `entry`.
[[nodiscard]] std::string
attempt_name(const peer_process& entry, attempt_id id);

} // namespace peridotward
