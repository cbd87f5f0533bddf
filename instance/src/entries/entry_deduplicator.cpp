#include "entries/entry_deduplicator.hpp"

namespace peridotward {

entry_deduplicator::entry_deduplicator(instance_state& state)
    : state_{&state},
      router_{
          limits_.id_lifetime + limits_.settle_time + 4 * limits_.clock_error}
{}

void entry_deduplicator::follow_bundle()
{
    if (followed_ == state_->in_force)
        return;
    followed_ = state_->in_force;
    router_.on_bundle(followed_, state_->loop.wall());
}

entry_verdict entry_deduplicator::admit(
    upstream_index upstream, std::string_view request_id, time_point held_since)
{
    follow_bundle();
    const auto& definition = followed_->at(upstream);
    const auto& service = followed_->at(definition.service).id;
    // Under another bundle the id may belong to another owner.
    if (router_.route(service, request_id) != upstream)
        return entry_verdict::expired;
    return tenure_of(definition.id, held_since)
        .ids.admit(
            request_id,
            router_.moved_at(service, request_id),
            state_->loop.wall());
}

void entry_deduplicator::withdraw(
    upstream_index upstream, std::string_view request_id)
{
    const auto found = tenures_.find(followed_->at(upstream).id);
    if (found != tenures_.end())
        found->second.ids.withdraw(request_id);
}

upstream_index
entry_deduplicator::route(std::string_view service, std::string_view request_id)
{
    follow_bundle();
    return router_.route(service, request_id);
}

std::size_t entry_deduplicator::remembered() const noexcept
{
    std::size_t total = 0;
    for (const auto& [upstream, entry] : tenures_)
        total += entry.ids.size();
    return total;
}

entry_deduplicator::tenure& entry_deduplicator::tenure_of(
    const std::string& upstream, time_point held_since)
{
    auto [place, fresh] = tenures_.try_emplace(
        upstream, tenure{held_since, entry_window{limits_}});
    auto& found = place->second;
    if (fresh || found.held_since != held_since) {
        const auto held_for = std::chrono::duration_cast<milliseconds>(
            state_->loop.now() - held_since);
        found.held_since = held_since;
        found.ids.begin_tenure(state_->loop.wall() - held_for);
    }
    return found;
}

} // namespace peridotward
