#pragma once

#include "attempt_port.hpp"
#include "node_state.hpp"

#include <unordered_map>

namespace peridotward {

/// Sends every attempt straight to its upstream, without regard to limits.
class direct_port final : public attempt_port
{
public:
    direct_port(node_state& state, upstream_gateway& gateway)
        : state_{&state}, gateway_{&gateway}
    {}

    void
    send(const search_job& job, std::span<const attempt> attempts) override;
    void cancel(std::span<const attempt_id> attempts) override;
    [[nodiscard]] std::string name_of_attempt(attempt_id id) const override;

private:
    void send_one(const search_job& job, const attempt& wanted);

    node_state* state_;
    upstream_gateway* gateway_;
    std::unordered_map<std::uint64_t, endpoint> running_;
};

} // namespace peridotward
