#include "upstreams/upstream_executor.hpp"

#include <algorithm>

namespace peridotward {

namespace {

/// A request with less remaining time than this is not sent.
constexpr milliseconds min_budget{3};
/// A request that got no response keeps its slot for this long after its
/// deadline: the upstream counts the same budget from the later arrival of the
/// request, so its own deadline falls later.
constexpr milliseconds slot_release_delay{20};

std::uint64_t to_integer(execution_id id)
{
    return static_cast<std::uint64_t>(id);
}

execution_result not_run_result(bool not_owner = false)
{
    execution_result result;
    result.not_owner = not_owner;
    return result;
}

} // namespace

upstream_executor::upstream_executor(
    fleet_runner& fleet, upstream_client& client)
    : fleet_{&fleet},
      client_{&client},
      loop_{&fleet.state().loop},
      queue_{fleet.leases(), fleet.budgets()}
{
    fleet.on_tick([this](time_point now) { queue_.on_timeout(now); });
}

execution_id
upstream_executor::start(execution_request request, completion done)
{
    fleet_->apply_state_changes();
    const execution_id id{++last_execution_};
    slot_request slot;
    slot.upstream = request.upstream;
    slot.priority = request.priority;
    slot.hedge = request.hedge;
    slot.deadline = request.deadline - min_budget;
    slot.run = [this, id](const budget_grant& grant) { run(id, grant); };
    slot.refuse = [this, id](bool not_owner) {
        finish(id, not_run_result(not_owner));
    };
    execution current;
    current.request = std::move(request);
    current.done = std::move(done);
    running_.emplace(to_integer(id), std::move(current));
    queue_.submit(id, std::move(slot), loop_->now());
    return id;
}

void upstream_executor::run(execution_id id, const budget_grant& grant)
{
    auto& current = running_.at(to_integer(id));
    const auto now = loop_->now();
    const auto& in_force = *fleet_->leases().in_force();
    const auto upstream = fleet_->leases().voters().find(grant.upstream);
    current.grant = grant;
    current.upstream_deadline =
        std::min(current.request.deadline, grant.latest_end);
    current.address = in_force.at(upstream).address;
    if (current.upstream_deadline - now < min_budget) {
        release_grant(grant, {});
        finish(id, not_run_result(true));
        return;
    }
    const bool is_entry =
        current.request.action == execution_request::action_kind::append;
    if (is_entry && entry_admission_ != nullptr && !admit_entry(id))
        return;
    current.sent = true;
    send_request(id, in_force, upstream);
}

bool upstream_executor::admit_entry(execution_id id)
{
    // `entry_admission_` and the leases must resolve an index in the same
    // bundle.
    fleet_->apply_state_changes();
    auto& current = running_.at(to_integer(id));
    const auto& leases = fleet_->leases();
    const auto upstream = leases.voters().find(current.grant.upstream);
    if (!upstream.valid()) {
        release_grant(current.grant, {});
        finish(id, not_run_result(true));
        return false;
    }
    const auto decision = entry_admission_->admit(
        upstream, current.request.request_id, leases.held_since(upstream));
    current.admitted = decision == entry_decision::run;
    if (current.admitted)
        return true;
    execution_result result;
    result.duplicate = decision == entry_decision::duplicate;
    result.expired = decision == entry_decision::expired ||
                     decision == entry_decision::malformed;
    release_grant(current.grant, {});
    finish(id, std::move(result));
    return false;
}

/// \returns The check that runs right before the first byte is sent. It repeats
/// the checks of deadline and lease, since the process may have been paused
/// since the slot was granted.
std::function<bool()> upstream_executor::send_check(
    resource_id upstream, time_point upstream_deadline) const
{
    return [this, upstream, upstream_deadline] {
        const auto now = loop_->now();
        const auto& leases = fleet_->leases();
        const auto index = leases.voters().find(upstream);
        return index.valid() && now + min_budget <= upstream_deadline &&
               leases.holds(index, now);
    };
}

void upstream_executor::send_request(
    execution_id id, const bundle& in_force, upstream_index upstream)
{
    const auto& current = running_.at(to_integer(id));
    const auto& request = current.request;
    const send_limits limits{
        current.upstream_deadline - loop_->now(),
        send_check(request.upstream, current.upstream_deadline)};
    auto done = [this, id](shard_response response) {
        on_response(id, std::move(response));
    };
    switch (request.action) {
    case execution_request::action_kind::search: {
        shard_request shard;
        shard.id = request.request_id;
        shard.to = current.address;
        shard.service = in_force.service_of(upstream).id;
        shard.range = request.range;
        shard.snapshot = request.snapshot;
        shard.criteria = request.text;
        shard.limits = limits;
        client_->search(shard, std::move(done));
        return;
    }
    case execution_request::action_kind::fetch:
        client_->fetch(
            current.address,
            request.request_id,
            request.text,
            limits,
            std::move(done));
        return;
    case execution_request::action_kind::append:
        client_->append(
            current.address,
            request.request_id,
            request.text,
            limits,
            std::move(done));
        return;
    }
}

void upstream_executor::on_response(execution_id id, shard_response response)
{
    const auto& current = running_.at(to_integer(id));
    const auto grant = current.grant;
    release_slot(grant, response, current.upstream_deadline);
    if (current.admitted && !response.sent) {
        const auto upstream = fleet_->leases().voters().find(grant.upstream);
        if (upstream.valid())
            entry_admission_->withdraw(upstream, current.request.request_id);
    }
    execution_result result;
    const auto upstream = fleet_->leases().voters().find(grant.upstream);
    if (upstream.valid())
        result.free_slots =
            fleet_->budgets().free_slots(upstream, loop_->now());
    result.response = std::move(response);
    finish(id, std::move(result));
}

/// Frees the slot at once if the upstream has certainly stopped working on the
/// request, else `slot_release_delay` after the upstream's deadline.
void upstream_executor::release_slot(
    const budget_grant& grant,
    const shard_response& response,
    time_point upstream_deadline)
{
    const bool may_still_run = response.sent && response.status == 0;
    if (!may_still_run) {
        release_grant(grant, response);
        return;
    }
    shard_response summary;
    summary.outcome = response.outcome;
    summary.sent = response.sent;
    summary.report = response.report;
    summary.elapsed = response.elapsed;
    loop_->schedule_at(
        upstream_deadline + slot_release_delay,
        [this, grant, summary] { release_grant(grant, summary); });
}

void upstream_executor::release_grant(
    const budget_grant& grant, const shard_response& response)
{
    const auto now = loop_->now();
    fleet_->budgets().on_end(
        grant, response.outcome, response.report, response.elapsed, now);
    // Posted, since the caller may be iterating over the queue.
    loop_->post([this, upstream = grant.upstream] {
        queue_.on_slot_freed(upstream, loop_->now());
    });
}

void upstream_executor::finish(execution_id id, execution_result result)
{
    auto node = running_.extract(to_integer(id));
    if (!node.empty())
        node.mapped().done(std::move(result));
}

void upstream_executor::cancel(execution_id id)
{
    const auto found = running_.find(to_integer(id));
    if (found == running_.end())
        return;
    if (queue_.withdraw(id)) {
        execution_result withdrawn;
        withdrawn.response.outcome = attempt_outcome::cancelled;
        finish(id, std::move(withdrawn));
        return;
    }
    const auto& current = found->second;
    const bool is_entry =
        current.request.action == execution_request::action_kind::append;
    if (current.sent && !is_entry)
        client_->cancel(current.address, current.request.request_id);
}

} // namespace peridotward
