#include <peridotward/core/query.hpp>

#include <algorithm>

namespace peridotward {

query::query(query_start start) : start_{std::move(start)}
{
    const auto& wanted = start_.in_force->at(start_.search);
    const auto* map = start_.in_force->map_at(wanted.map, start_.snapshot);
    plan_.whole = wanted.range;
    if (map != nullptr)
        plan_ = make_plan(*map, wanted.range);
    else
        plan_.holes = {wanted.range};
    parts_.resize(plan_.parts.size());
    merged_.reserve(plan_.parts.size());
    live_.reserve(plan_.parts.size());
}

void query::on_time(time_point now, query_actions& out)
{
    if (!finished_ && now >= start_.deadline) {
        for (const auto& running : live_)
            parts_[running.part].last = attempt_outcome::timed_out;
        finish(out);
    }
}

double query::coverage() const noexcept
{
    return static_cast<double>(merged_.size()) /
           static_cast<double>(plan_.whole.size());
}

std::vector<missing_range> query::missing() const
{
    std::vector<missing_range> gaps;
    for (std::size_t i = 0; i < parts_.size(); ++i) {
        if (!parts_[i].merged)
            gaps.push_back({plan_.parts[i].range, parts_[i].last});
    }
    for (const auto& hole : plan_.holes)
        gaps.push_back({hole, attempt_outcome::not_sent});
    std::sort(
        gaps.begin(),
        gaps.end(),
        [](const missing_range& a, const missing_range& b) {
            return a.range < b.range;
        });
    return gaps;
}

std::optional<query::live_attempt> query::take_live(attempt_id id)
{
    const auto found = std::find_if(
        live_.begin(), live_.end(), [&](const live_attempt& entry) {
            return entry.id == id;
        });
    if (found == live_.end())
        return std::nullopt;
    const auto taken = *found;
    *found = live_.back();
    live_.pop_back();
    return taken;
}

void query::finish_if_settled(query_actions& out)
{
    if (finished_)
        return;
    const auto& policy = start_.in_force->at(start_.search).policy;
    const bool enough = policy.prefer == search_preference::latency &&
                        coverage() >= start_.coverage_target;
    if (live_.empty() || enough)
        finish(out);
}

void query::finish(query_actions& out)
{
    finished_ = true;
    for (const auto& running : live_)
        out.cancel.push_back(running.id);
    live_.clear();
    out.finished = true;
}

} // namespace peridotward
