#include <peridotward/base/hash.hpp>
#include <peridotward/core/entries/entry_router.hpp>

namespace peridotward {

namespace {

/// \returns The id of the upstream that `id` maps to. Unlike its index, the id
/// of an upstream is the same in all bundles.
std::string_view routed_upstream_id(
    const bundle& in_force, std::string_view service, std::string_view id)
{
    const auto index = route_entry(in_force, service, id);
    if (!index.valid())
        return {};
    return in_force.at(index).id;
}

} // namespace

upstream_index route_entry(
    const bundle& in_force,
    std::string_view service,
    std::string_view request_id)
{
    const auto index = in_force.find_service(service);
    upstream_index best;
    std::uint64_t best_weight = 0;
    if (!index.valid())
        return best;
    for (const auto candidate : in_force.at(index).upstreams) {
        if (!in_force.admits(candidate))
            continue;
        const auto weight =
            rendezvous_weight(request_id, in_force.at(candidate).id);
        if (!best.valid() || weight > best_weight) {
            best = candidate;
            best_weight = weight;
        }
    }
    return best;
}

void entry_router::on_bundle(bundle_ptr accepted, wall_time now)
{
    epochs_.push_back({std::move(accepted), now});
    // An epoch is needed until its successor is older than the retention.
    while (epochs_.size() > 1 && epochs_[1].since + retention_ < now)
        epochs_.pop_front();
}

upstream_index
entry_router::route(std::string_view service, std::string_view request_id) const
{
    if (epochs_.empty())
        return {};
    return route_entry(*epochs_.back().in_force, service, request_id);
}

wall_time entry_router::moved_at(
    std::string_view service, std::string_view request_id) const
{
    if (epochs_.empty())
        return wall_time::min();
    const auto current =
        routed_upstream_id(*epochs_.back().in_force, service, request_id);
    for (std::size_t i = epochs_.size() - 1; i > 0; --i) {
        const auto previous =
            routed_upstream_id(*epochs_[i - 1].in_force, service, request_id);
        if (previous != current)
            return epochs_[i].since;
    }
    return wall_time::min();
}

} // namespace peridotward
