#include <peridotward/core/membership/relay_targets.hpp>

#include <algorithm>

namespace peridotward {

namespace {

/// Capacity of instances that state none.
constexpr double default_capacity = 1000;

double load_factor(member_load load) noexcept
{
    switch (load) {
    case member_load::calm:
        break;
    case member_load::busy:
        return relay_targets::busy_factor;
    case member_load::full:
        return relay_targets::full_factor;
    }
    return 1;
}

} // namespace

std::optional<instance_candidate> relay_targets::choose(
    const std::vector<instance_candidate>& candidates,
    const std::string& self,
    std::span<const std::string> tried,
    time_point now)
{
    const instance_candidate* best = nullptr;
    double best_share = 0;
    for (const auto& candidate : candidates) {
        const auto& state = targets_[candidate.id];
        const bool excluded =
            candidate.id == self || now < state.avoid_until ||
            state.open >= max_open ||
            std::find(tried.begin(), tried.end(), candidate.id) != tried.end();
        if (excluded)
            continue;
        const double capacity =
            candidate.capacity > 0 ? candidate.capacity : default_capacity;
        const double doubt = now < state.not_run_until ? not_run_factor : 1;
        const double share = random_->unit() * capacity * doubt *
                             load_factor(candidate.load) / (1 + state.open);
        if (best == nullptr || share > best_share) {
            best = &candidate;
            best_share = share;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    ++targets_[best->id].open;
    return *best;
}

void relay_targets::on_end(
    const std::string& id, relay_result result, time_point now)
{
    auto& state = targets_[id];
    state.open -= state.open > 0 ? 1 : 0;
    switch (result) {
    case relay_result::served:
    case relay_result::declined:
        break;
    case relay_result::not_run:
        state.not_run_until = now + not_run_time;
        break;
    case relay_result::cut_off:
        state.avoid_until = now + cut_off_time;
        break;
    case relay_result::failed:
        state.avoid_until = now + failure_time;
        break;
    }
}

} // namespace peridotward
