#include <peridotward/core/budgets/lease_controller.hpp>

#include <algorithm>

namespace peridotward {

namespace {

/// Longest time between two calls of `on_timeout` while leases are due.
constexpr duration longest_sleep = milliseconds{100};

/// As above, while a lease waits to be given up.
constexpr duration yielding_sleep = milliseconds{10};

} // namespace

lease_controller::lease_controller(
    std::string instance,
    incarnation_number incarnation,
    time_point now,
    std::uint64_t seed,
    fleet_timing timing)
    : instance_id_{std::move(instance)},
      incarnation_{incarnation},
      timing_{timing},
      random_{seed},
      open_from_{now + timing.lease_term},
      last_call_{now},
      next_renewal_{now},
      next_poll_{now},
      next_wakeup_{now}
{}

void lease_controller::on_bundle(bundle_ptr in_force, time_point now)
{
    notice_pause(now);
    if (in_force_ && in_force->version <= in_force_->version)
        return;
    electorate newer{*in_force};
    std::vector<lease> leases;
    const auto own = in_force->find_instance(instance_id_);
    for (std::uint32_t i = 0; i < newer.size(); ++i) {
        const auto& voters = newer.of(upstream_index{i});
        const auto rank = voters.rank_of(own);
        if (rank == voters.count)
            continue;
        lease fresh;
        fresh.upstream = upstream_index{i};
        fresh.rank = static_cast<std::uint8_t>(rank);
        fresh.hand_back_wait = timing_.hand_back_wait;
        const auto resource = newer.resource(fresh.upstream);
        leases.push_back(inherit(*in_force, voters, resource, fresh, now));
    }
    serving_ = carry_serving(*in_force);
    voters_ = std::move(newer);
    leases_ = std::move(leases);
    voted_.clear();
    for (const auto& each : leases_)
        voted_.push_back(each.upstream);
    own_ = own;
    in_force_ = std::move(in_force);
    refusals_.clear();
    members_revision_ = 0;
    next_wakeup_ = now;
}

lease_controller::lease lease_controller::inherit(
    const bundle& newer,
    const voter_list& voters,
    resource_id resource,
    const lease& fresh,
    time_point now) const
{
    if (!in_force_)
        return fresh;
    const auto term = timing_.lease_term + timing_.lease_margin;
    const auto before = voters_.find(resource);
    if (!before.valid()) {
        lease added = fresh;
        added.given.closed_until = now + term;
        return added;
    }
    const auto& older = voters_.of(before);
    const auto* known = find(before);
    lease kept = known != nullptr ? *known : fresh;
    kept.upstream = fresh.upstream;
    kept.rank = fresh.rank;
    kept.granted = {};
    bool same = older.count == voters.count;
    for (std::size_t i = 0; i < voters.count; ++i) {
        const auto& id = newer.instances[voters.instances[i].position()].id;
        const auto rank = older.rank_of(in_force_->find_instance(id));
        if (known != nullptr && rank < older.count)
            kept.granted[i] = known->granted[rank];
        same = same && rank < older.count;
    }
    if (!same)
        kept.changes.emplace_back(
            *in_force_, older, newer, instance_id_, now, term);
    return kept;
}

std::vector<bool> lease_controller::carry_serving(const bundle& newer) const
{
    std::vector<bool> carried(newer.instances.size(), false);
    for (std::size_t i = 0; i < serving_.size(); ++i) {
        if (!serving_[i])
            continue;
        const auto moved = newer.find_instance(in_force_->instances[i].id);
        if (moved.valid())
            carried[moved.position()] = true;
    }
    return carried;
}

void lease_controller::on_members(const membership& members, time_point now)
{
    notice_pause(now);
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

void lease_controller::notice_pause(time_point now)
{
    const bool paused = now - last_call_ > timing_.pause_limit;
    last_call_ = std::max(now, last_call_);
    if (!paused)
        return;
    open_from_ = now + timing_.lease_term;
    for (auto& each : leases_) {
        each.phase = lease_phase::idle;
        each.granted = {};
        each.valid_until = {};
        each.first_round = round_ + 1;
    }
}

void lease_controller::hear_version(
    std::string_view instance, bundle_version version, time_point now)
{
    const auto term = timing_.lease_term + timing_.lease_margin;
    for (auto& each : leases_) {
        for (auto& change : each.changes)
            change.heard(instance, version, now, term);
    }
}

void lease_controller::forget_settled(lease& changed, time_point now)
{
    std::erase_if(changed.changes, [&](const electorate_change& change) {
        return change.settled(now);
    });
}

void lease_controller::poll_changes(time_point now, batch_map& batches)
{
    if (now < next_poll_)
        return;
    next_poll_ = now + timing_.retry_interval;
    for (const auto& each : leases_) {
        for (const auto& change : each.changes) {
            for (const auto& instance : change.waiting()) {
                const auto index = in_force_->find_instance(instance);
                if (index.valid())
                    batches[instance_id_of(index)];
            }
        }
    }
}

void lease_controller::on_timeout(
    time_point now,
    std::span<const std::uint32_t> busy,
    std::vector<outgoing_message>& out)
{
    notice_pause(now);
    next_wakeup_ = now + longest_sleep;
    if (!in_force_)
        return;
    batch_map batches;
    for (auto& each : leases_) {
        const auto position = each.upstream.position();
        step(each, position < busy.size() && busy[position] > 0, now, batches);
    }
    poll_changes(now, batches);
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
    for (auto& [instance, content] : batches) {
        lease_request message;
        message.round = round_;
        message.bundle_version = in_force_->version;
        message.incarnation = incarnation_;
        message.wanted = std::move(content.wanted);
        message.released = std::move(content.released);
        out.push_back({std::string{instance}, std::move(message)});
    }
}

time_point lease_controller::next_wakeup() const noexcept
{
    const bool yielding =
        std::any_of(leases_.begin(), leases_.end(), [](const lease& each) {
            return each.phase == lease_phase::yielding;
        });
    if (yielding)
        return std::min(next_wakeup_, last_call_ + yielding_sleep);
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
        [](const lease& entry, upstream_index wanted) {
            return entry.upstream < wanted;
        });
    if (found == leases_.end() || found->upstream != upstream)
        return nullptr;
    return &*found;
}

std::string_view
lease_controller::instance_id_of(instance_index instance) const noexcept
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
    const auto* held = find(upstream);
    return held != nullptr && held->phase == lease_phase::holding &&
           now < held->valid_until && now - last_call_ <= timing_.pause_limit;
}

time_point lease_controller::valid_until(upstream_index upstream) const noexcept
{
    const auto* held = find(upstream);
    return held != nullptr ? held->valid_until : time_point{};
}

time_point lease_controller::held_since(upstream_index upstream) const noexcept
{
    const auto* held = find(upstream);
    return held != nullptr ? held->held_since : time_point{};
}

std::string_view lease_controller::likely_owner(
    upstream_index upstream, time_point now) const noexcept
{
    if (holds(upstream, now))
        return instance_id_;
    const auto& voters = voters_.of(upstream);
    const auto refused = refusals_.find(upstream.value);
    std::uint8_t passed_over = 0;
    if (refused != refusals_.end() && now < refused->second.until)
        passed_over = refused->second.ranks;
    std::string_view fallback;
    for (std::size_t rank = 0; rank < voters.count; ++rank) {
        const auto instance = voters.instances[rank];
        if (!serves(instance))
            continue;
        if ((passed_over & (1U << rank)) == 0)
            return instance_id_of(instance);
        if (fallback.empty())
            fallback = instance_id_of(instance);
    }
    return fallback;
}

void lease_controller::on_not_owner(
    upstream_index upstream, std::string_view instance, time_point now)
{
    if (!in_force_)
        return;
    const auto& voters = voters_.of(upstream);
    const auto rank = voters.rank_of(in_force_->find_instance(instance));
    if (rank == voters.count)
        return;
    auto& entry = refusals_[upstream.value];
    if (now >= entry.until)
        entry.ranks = 0;
    entry.ranks |= static_cast<std::uint8_t>(1U << rank);
    entry.until = now + timing_.retry_interval;
}

std::vector<lease_view> lease_controller::view() const
{
    std::vector<lease_view> shown;
    for (const auto& each : leases_) {
        lease_view entry;
        entry.upstream = each.upstream;
        entry.phase = each.phase;
        entry.valid_until = each.valid_until;
        entry.granted_to = each.given.holder;
        entry.granted_until = each.given.until;
        entry.rank = each.rank;
        shown.push_back(entry);
    }
    return shown;
}

std::size_t lease_controller::held_count(time_point now) const noexcept
{
    return static_cast<std::size_t>(
        std::count_if(leases_.begin(), leases_.end(), [&](const lease& each) {
            return each.phase == lease_phase::holding && now < each.valid_until;
        }));
}

} // namespace peridotward
