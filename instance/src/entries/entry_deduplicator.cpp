#include "entries/entry_deduplicator.hpp"

namespace peridotward {

entry_deduplicator::entry_deduplicator(instance_state& state)
    : state_{&state},
      router_{
          limits_.id_lifetime + limits_.bundle_rollout_time +
          4 * limits_.max_clock_error}
{}

void entry_deduplicator::update_bundle()
{
    if (bundle_ == state_->in_force)
        return;
    bundle_ = state_->in_force;
    router_.on_bundle(bundle_, state_->loop.wall());
}

entry_decision entry_deduplicator::admit(
    upstream_index upstream, std::string_view request_id, time_point held_since)
{
    update_bundle();
    const auto& definition = bundle_->at(upstream);
    const auto& service = bundle_->at(definition.service).id;
    // Under the bundle in force the id may map to another upstream than under
    // the bundle of the request.
    if (router_.route(service, request_id) != upstream)
        return entry_decision::expired;
    return current_period(definition.id, held_since)
        .ids.admit(
            request_id,
            router_.moved_at(service, request_id),
            state_->loop.wall());
}

void entry_deduplicator::withdraw(
    upstream_index upstream, std::string_view request_id)
{
    const auto found = periods_.find(bundle_->at(upstream).id);
    if (found != periods_.end())
        found->second.ids.withdraw(request_id);
}

upstream_index
entry_deduplicator::route(std::string_view service, std::string_view request_id)
{
    update_bundle();
    return router_.route(service, request_id);
}

std::size_t entry_deduplicator::known_id_count() const noexcept
{
    std::size_t total = 0;
    for (const auto& [upstream, entry] : periods_)
        total += entry.ids.size();
    return total;
}

entry_deduplicator::ownership_period& entry_deduplicator::current_period(
    const std::string& upstream, time_point held_since)
{
    auto [position, inserted] = periods_.try_emplace(
        upstream, ownership_period{held_since, entry_window{limits_}});
    auto& found = position->second;
    if (inserted || found.held_since != held_since) {
        const auto held_for = std::chrono::duration_cast<milliseconds>(
            state_->loop.now() - held_since);
        found.held_since = held_since;
        found.ids.begin_ownership(state_->loop.wall() - held_for);
    }
    return found;
}

} // namespace peridotward
