#include "status_poller.hpp"

namespace peridotward {

namespace {

constexpr seconds poll_interval{1};
constexpr milliseconds first_interval{50};

} // namespace

void status_poller::poll_all()
{
    const auto in_force = state_->in_force;
    if (!in_force) {
        state_->loop.after(first_interval, [this] { poll_all(); });
        return;
    }
    for (std::uint32_t i = 0; i < in_force->upstreams.size(); ++i) {
        const upstream_index index{i};
        if (in_force->service_of(index).kind != service_kind::search)
            continue;
        gateway_->status(
            in_force->at(index).address,
            [this, index, in_force](const shard_response& response) {
                if (state_->in_force != in_force)
                    return;
                const auto now = state_->loop.now();
                const auto& report = response.report;
                state_->snapshots.observe(index, report.snapshots, now);
                state_->replicas.on_report(index, report, now);
            });
    }
    state_->loop.after(poll_interval, [this] { poll_all(); });
}

} // namespace peridotward
