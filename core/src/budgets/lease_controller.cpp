#include <peridotward/core/budgets/lease_controller.hpp>

#include <algorithm>

namespace peridotward {

namespace {

/// Maximum time between two calls of `on_timeout`.
constexpr duration max_sleep = milliseconds{100};

/// The same while a lease waits to be released.
constexpr duration max_yielding_sleep = milliseconds{10};

} // namespace

lease_controller::lease_controller(
    std::string own_id,
    incarnation_number incarnation,
    time_point now,
    std::uint64_t seed,
    fleet_timing timing)
    : own_id_{std::move(own_id)},
      incarnation_{incarnation},
      timing_{timing},
      random_{seed},
      votes_from_{now + timing.lease_term},
      last_call_{now},
      next_renewal_{now},
      next_poll_{now},
      next_wakeup_{now}
{}

void lease_controller::on_bundle(bundle_ptr in_force, time_point now)
{
    detect_pause(now);
    if (in_force_ && in_force->version <= in_force_->version)
        return;
    voter_table newer{*in_force};
    std::vector<lease> leases;
    const auto own = in_force->find_instance(own_id_);
    for (std::uint32_t i = 0; i < newer.size(); ++i) {
        const auto& voters = newer.of(upstream_index{i});
        const auto rank = voters.rank_of(own);
        if (rank == voters.count)
            continue;
        lease initial;
        initial.upstream = upstream_index{i};
        initial.rank = static_cast<std::uint8_t>(rank);
        initial.hand_back_wait = timing_.hand_back_wait;
        const auto resource = newer.resource(initial.upstream);
        leases.push_back(carry_over(*in_force, voters, resource, initial, now));
    }
    serving_ = carry_serving(*in_force);
    voters_ = std::move(newer);
    leases_ = std::move(leases);
    voted_upstreams_.clear();
    for (const auto& each : leases_)
        voted_upstreams_.push_back(each.upstream);
    own_index_ = own;
    in_force_ = std::move(in_force);
    refusals_.clear();
    members_revision_ = 0;
    next_wakeup_ = now;
}

lease_controller::lease lease_controller::carry_over(
    const bundle& newer,
    const voter_set& voters,
    resource_id resource,
    const lease& initial,
    time_point now) const
{
    if (!in_force_)
        return initial;
    const auto term = timing_.lease_term + timing_.lease_margin;
    const auto previous_index = voters_.find(resource);
    if (!previous_index.valid()) {
        lease added = initial;
        added.own_vote.earliest_grant = now + term;
        return added;
    }
    const auto& older = voters_.of(previous_index);
    const auto* previous = find(previous_index);
    lease carried = previous != nullptr ? *previous : initial;
    carried.upstream = initial.upstream;
    carried.rank = initial.rank;
    carried.grant_ends = {};
    bool same = older.count == voters.count;
    for (std::size_t i = 0; i < voters.count; ++i) {
        const auto& id = newer.instances[voters.instances[i].position()].id;
        const auto rank = older.rank_of(in_force_->find_instance(id));
        if (previous != nullptr && rank < older.count)
            carried.grant_ends[i] = previous->grant_ends[rank];
        same = same && rank < older.count;
    }
    if (!same)
        carried.voter_changes.emplace_back(
            *in_force_, older, newer, own_id_, now, term);
    return carried;
}

std::vector<bool> lease_controller::carry_serving(const bundle& newer) const
{
    std::vector<bool> serving(newer.instances.size(), false);
    for (std::size_t i = 0; i < serving_.size(); ++i) {
        if (!serving_[i])
            continue;
        const auto moved = newer.find_instance(in_force_->instances[i].id);
        if (moved.valid())
            serving[moved.position()] = true;
    }
    return serving;
}

void lease_controller::on_members(const membership& members, time_point now)
{
    detect_pause(now);
    if (!in_force_)
        return;
    if (members_known_ && members.revision() == members_revision_)
        return;
    for (std::size_t i = 0; i < serving_.size(); ++i)
        serving_[i] = members.serves(in_force_->instances[i].id);
    members_revision_ = members.revision();
    members_known_ = true;
    next_wakeup_ = now;
}

void lease_controller::detect_pause(time_point now)
{
    const bool paused = now - last_call_ > timing_.pause_limit;
    last_call_ = std::max(now, last_call_);
    if (!paused)
        return;
    votes_from_ = now + timing_.lease_term;
    for (auto& each : leases_) {
        each.phase = lease_phase::idle;
        each.grant_ends = {};
        each.valid_until = {};
        each.first_valid_round = round_ + 1;
    }
}

void lease_controller::on_peer_version(
    std::string_view instance_id, bundle_version version, time_point now)
{
    const auto term = timing_.lease_term + timing_.lease_margin;
    for (auto& each : leases_) {
        for (auto& change : each.voter_changes)
            change.on_version(instance_id, version, now, term);
    }
}

void lease_controller::drop_settled_changes(lease& changed, time_point now)
{
    std::erase_if(changed.voter_changes, [&](const voter_set_change& change) {
        return change.settled(now);
    });
}

void lease_controller::poll_unconfirmed_voters(
    time_point now, batch_map& batches)
{
    if (now < next_poll_)
        return;
    next_poll_ = now + timing_.retry_interval;
    for (const auto& each : leases_) {
        for (const auto& change : each.voter_changes) {
            for (const auto& instance_id : change.unconfirmed()) {
                const auto index = in_force_->find_instance(instance_id);
                if (index.valid())
                    batches[id_of(index)];
            }
        }
    }
}

void lease_controller::on_timeout(
    time_point now,
    std::span<const std::uint32_t> busy,
    std::vector<outgoing_message>& out)
{
    detect_pause(now);
    next_wakeup_ = now + max_sleep;
    if (!in_force_)
        return;
    batch_map batches;
    for (auto& target : leases_) {
        const auto position = target.upstream.position();
        step(
            target, position < busy.size() && busy[position] > 0, now, batches);
    }
    poll_unconfirmed_voters(now, batches);
    if (now >= next_renewal_)
        next_renewal_ = now + timing_.renew_interval;
    flush(batches, now, out);
}

void lease_controller::flush(
    batch_map& batches, time_point now, std::vector<outgoing_message>& out)
{
    if (batches.empty())
        return;
    ++round_;
    rounds_.push_back({round_, now});
    while (now - rounds_.front().sent > timing_.lease_term)
        rounds_.pop_front();
    for (auto& [instance_id, content] : batches) {
        lease_request message;
        message.round = round_;
        message.bundle_version = in_force_->version;
        message.incarnation = incarnation_;
        message.wanted = std::move(content.wanted);
        message.released = std::move(content.released);
        out.push_back({std::string{instance_id}, std::move(message)});
    }
}

time_point lease_controller::next_wakeup() const noexcept
{
    const bool yielding =
        std::any_of(leases_.begin(), leases_.end(), [](const lease& each) {
            return each.phase == lease_phase::yielding;
        });
    if (yielding)
        return std::min(next_wakeup_, last_call_ + max_yielding_sleep);
    return next_wakeup_;
}

lease_controller::lease*
lease_controller::find(upstream_index upstream) noexcept
{
    const auto& self = *this;
    return const_cast<lease*>(self.find(upstream));
}

const lease_controller::lease*
lease_controller::find(upstream_index upstream) const noexcept
{
    const auto found = std::lower_bound(
        leases_.begin(),
        leases_.end(),
        upstream,
        [](const lease& item, upstream_index key) {
            return item.upstream < key;
        });
    if (found == leases_.end() || found->upstream != upstream)
        return nullptr;
    return &*found;
}

std::string_view lease_controller::id_of(instance_index instance) const noexcept
{
    return in_force_->instances[instance.position()].id;
}

bool lease_controller::serves(instance_index instance) const noexcept
{
    return instance.position() < serving_.size() &&
           serving_[instance.position()];
}

bool lease_controller::released() const noexcept
{
    return std::all_of(leases_.begin(), leases_.end(), [](const lease& each) {
        return each.phase == lease_phase::idle;
    });
}

bool lease_controller::holds(
    upstream_index upstream, time_point now) const noexcept
{
    const auto* target = find(upstream);
    return target != nullptr && target->phase == lease_phase::holding &&
           now < target->valid_until && now - last_call_ <= timing_.pause_limit;
}

time_point lease_controller::valid_until(upstream_index upstream) const noexcept
{
    const auto* target = find(upstream);
    return target != nullptr ? target->valid_until : time_point{};
}

time_point lease_controller::held_since(upstream_index upstream) const noexcept
{
    const auto* target = find(upstream);
    return target != nullptr ? target->held_since : time_point{};
}

std::string_view lease_controller::likely_owner(
    upstream_index upstream, time_point now) const noexcept
{
    if (holds(upstream, now))
        return own_id_;
    const auto& voters = voters_.of(upstream);
    const auto refusal = refusals_.find(upstream.value);
    std::uint8_t skipped_ranks = 0;
    if (refusal != refusals_.end() && now < refusal->second.until)
        skipped_ranks = refusal->second.ranks;
    std::string_view fallback;
    for (std::size_t rank = 0; rank < voters.count; ++rank) {
        const auto instance = voters.instances[rank];
        if (!serves(instance))
            continue;
        if ((skipped_ranks & (1U << rank)) == 0)
            return id_of(instance);
        if (fallback.empty())
            fallback = id_of(instance);
    }
    return fallback;
}

void lease_controller::on_not_owner(
    upstream_index upstream, std::string_view instance_id, time_point now)
{
    if (!in_force_)
        return;
    const auto& voters = voters_.of(upstream);
    const auto rank = voters.rank_of(in_force_->find_instance(instance_id));
    if (rank == voters.count)
        return;
    auto& refusal = refusals_[upstream.value];
    if (now >= refusal.until)
        refusal.ranks = 0;
    refusal.ranks |= static_cast<std::uint8_t>(1U << rank);
    refusal.until = now + timing_.retry_interval;
}

std::vector<lease_view> lease_controller::view() const
{
    std::vector<lease_view> views;
    for (const auto& each : leases_) {
        lease_view view;
        view.upstream = each.upstream;
        view.phase = each.phase;
        view.valid_until = each.valid_until;
        view.granted_to = each.own_vote.holder;
        view.granted_until = each.own_vote.until;
        view.rank = each.rank;
        views.push_back(view);
    }
    return views;
}

std::size_t lease_controller::held_count(time_point now) const noexcept
{
    return static_cast<std::size_t>(
        std::count_if(leases_.begin(), leases_.end(), [&](const lease& each) {
            return each.phase == lease_phase::holding && now < each.valid_until;
        }));
}

} // namespace peridotward
