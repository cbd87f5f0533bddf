#include "upstreams/upstream_executor.hpp"

#include <algorithm>

namespace peridotward {

namespace {

/// A request with less time than this is not sent.
constexpr milliseconds least_budget{3};
/// After its end, a request without an answer keeps its slot for this long:
/// the upstream counts the same time from a later start.
constexpr milliseconds settle_time{20};

std::uint64_t number_of(execution_id id)
{
    return static_cast<std::uint64_t>(id);
}

execution_result not_run(bool not_owner = false)
{
    execution_result result;
    result.not_owner = not_owner;
    return result;
}

} // namespace

upstream_executor::upstream_executor(
    fleet_runner& fleet, upstream_client& gateway)
    : fleet_{&fleet},
      gateway_{&gateway},
      loop_{&fleet.state().loop},
      queue_{fleet.leases(), fleet.budgets()}
{
    fleet.on_tick([this](time_point now) { queue_.on_time(now); });
}

execution_id
upstream_executor::start(execution_request request, completion done)
{
    fleet_->follow_state();
    const execution_id id{++last_work_};
    slot_request work;
    work.upstream = request.upstream;
    work.priority = request.priority;
    work.hedge = request.hedge;
    work.deadline = request.deadline - least_budget;
    work.run = [this, id](const budget_grant& granted) { run(id, granted); };
    work.refuse = [this, id](bool not_owner) {
        finish(id, not_run(not_owner));
    };
    running started;
    started.request = std::move(request);
    started.done = std::move(done);
    running_.emplace(number_of(id), std::move(started));
    queue_.submit(id, std::move(work), loop_->now());
    return id;
}

void upstream_executor::run(execution_id id, const budget_grant& granted)
{
    auto& started = running_.at(number_of(id));
    const auto now = loop_->now();
    const auto& in_force = *fleet_->leases().in_force();
    const auto upstream = fleet_->leases().voters().find(granted.upstream);
    started.granted = granted;
    started.end = std::min(started.request.deadline, granted.latest_end);
    started.address = in_force.at(upstream).address;
    if (started.end - now < least_budget) {
        end_grant(granted, {});
        finish(id, not_run(true));
        return;
    }
    const bool is_entry =
        started.request.what == execution_request::action::append;
    if (is_entry && gate_ != nullptr && !pass_gate(id))
        return;
    started.sent = true;
    submit(id, in_force, upstream);
}

bool upstream_executor::pass_gate(execution_id id)
{
    // The gate and the leases must mean the same bundle by an index.
    fleet_->follow_state();
    auto& started = running_.at(number_of(id));
    const auto& leases = fleet_->leases();
    const auto upstream = leases.voters().find(started.granted.upstream);
    if (!upstream.valid()) {
        end_grant(started.granted, {});
        finish(id, not_run(true));
        return false;
    }
    const auto verdict = gate_->admit(
        upstream, started.request.name, leases.held_since(upstream));
    started.admitted = verdict == entry_verdict::run;
    if (started.admitted)
        return true;
    execution_result result;
    result.duplicate = verdict == entry_verdict::duplicate;
    result.expired = verdict == entry_verdict::expired ||
                     verdict == entry_verdict::malformed;
    end_grant(started.granted, {});
    finish(id, std::move(result));
    return false;
}

/// \returns The last check before the first byte leaves, since the process may
/// have been paused in between.
std::function<bool()>
upstream_executor::send_check(resource_id upstream, time_point end) const
{
    return [this, upstream, end] {
        const auto now = loop_->now();
        const auto& leases = fleet_->leases();
        const auto index = leases.voters().find(upstream);
        return index.valid() && now + least_budget <= end &&
               leases.holds(index, now);
    };
}

void upstream_executor::submit(
    execution_id id, const bundle& in_force, upstream_index upstream)
{
    const auto& started = running_.at(number_of(id));
    const auto& request = started.request;
    const send_limits terms{
        started.end - loop_->now(), send_check(request.upstream, started.end)};
    auto done = [this, id](shard_response response) {
        on_response(id, std::move(response));
    };
    switch (request.what) {
    case execution_request::action::search: {
        shard_request shard;
        shard.id = request.name;
        shard.to = started.address;
        shard.service = in_force.service_of(upstream).id;
        shard.range = request.range;
        shard.snapshot = request.snapshot;
        shard.criteria = request.text;
        shard.terms = terms;
        gateway_->search(shard, std::move(done));
        return;
    }
    case execution_request::action::fetch:
        gateway_->fetch(
            started.address,
            request.name,
            request.text,
            terms,
            std::move(done));
        return;
    case execution_request::action::append:
        gateway_->append(
            started.address,
            request.name,
            request.text,
            terms,
            std::move(done));
        return;
    }
}

void upstream_executor::on_response(execution_id id, shard_response response)
{
    const auto& started = running_.at(number_of(id));
    const auto granted = started.granted;
    release(granted, response, started.end);
    if (started.admitted && !response.sent) {
        const auto upstream = fleet_->leases().voters().find(granted.upstream);
        if (upstream.valid())
            gate_->withdraw(upstream, started.request.name);
    }
    execution_result result;
    const auto upstream = fleet_->leases().voters().find(granted.upstream);
    if (upstream.valid())
        result.free_slots =
            fleet_->budgets().free_slots(upstream, loop_->now());
    result.response = std::move(response);
    finish(id, std::move(result));
}

/// Frees the slot once the upstream surely works no more on the request.
void upstream_executor::release(
    const budget_grant& granted, const shard_response& response, time_point end)
{
    const bool may_run_on = response.sent && response.status == 0;
    if (!may_run_on) {
        end_grant(granted, response);
        return;
    }
    shard_response seen;
    seen.outcome = response.outcome;
    seen.sent = response.sent;
    seen.report = response.report;
    seen.elapsed = response.elapsed;
    loop_->at(
        end + settle_time, [this, granted, seen] { end_grant(granted, seen); });
}

void upstream_executor::end_grant(
    const budget_grant& granted, const shard_response& response)
{
    const auto now = loop_->now();
    fleet_->budgets().on_end(
        granted, response.outcome, response.report, response.elapsed, now);
    // Later, since the caller may be in the middle of the queue.
    loop_->post([this, upstream = granted.upstream] {
        queue_.on_free(upstream, loop_->now());
    });
}

void upstream_executor::finish(execution_id id, execution_result result)
{
    auto node = running_.extract(number_of(id));
    if (!node.empty())
        node.mapped().done(std::move(result));
}

void upstream_executor::cancel(execution_id id)
{
    const auto found = running_.find(number_of(id));
    if (found == running_.end())
        return;
    if (queue_.withdraw(id)) {
        execution_result withdrawn;
        withdrawn.response.outcome = attempt_outcome::cancelled;
        finish(id, std::move(withdrawn));
        return;
    }
    const auto& started = found->second;
    const bool is_entry =
        started.request.what == execution_request::action::append;
    if (started.sent && !is_entry)
        gateway_->cancel(started.address, started.request.name);
}

} // namespace peridotward
