#include <peridotward/core/admission/admission_lane.hpp>

#include <algorithm>

namespace peridotward {

namespace {

constexpr int mean_weight = 16;
constexpr double needed_quantile = 0.9;
constexpr std::uint32_t enough_queries = 16;
constexpr milliseconds least_retry_after{10};
constexpr milliseconds greatest_retry_after{5000};

bool later(const admission_request& a, const admission_request& b) noexcept
{
    return a.deadline > b.deadline;
}

} // namespace

void admission_lane::arrive(
    const admission_request& wanted, time_point now, admission_actions& out)
{
    const bool free = running_ < limit_.allowed() && waiting() == 0;
    const auto wait = free ? duration{} : wait_of(ahead_of(wanted));
    if (!reachable(wanted, now + wait)) {
        refuse(wanted, error_kind::deadline_unreachable, out);
        return;
    }
    if (free) {
        ++running_;
        out.start.push_back(wanted.id);
        return;
    }
    if (waiting() >= max_waiting_ && !make_room(wanted.priority, out)) {
        refuse(wanted, error_kind::overloaded, out);
        return;
    }
    insert(wanted);
    start_next(now, out);
}

void admission_lane::on_finished(
    time_point started, double stalled, time_point now, admission_actions& out)
{
    limit_.on_finished(started, stalled, --running_, now);
    const auto elapsed = now - started;
    latencies_.add(elapsed);
    if (mean_ == duration::zero())
        mean_ = elapsed;
    else
        mean_ += (elapsed - mean_) / mean_weight;
    start_next(now, out);
}

bool admission_lane::withdraw(std::uint64_t id) noexcept
{
    for (auto& each : classes_) {
        const auto found = std::find_if(
            each.queue.begin(), each.queue.end(), [&](const auto& entry) {
                return entry.id == id;
            });
        if (found == each.queue.end())
            continue;
        each.queue.erase(found);
        return true;
    }
    return false;
}

void admission_lane::on_timeout(time_point now, admission_actions& out)
{
    for (auto& each : classes_) {
        std::erase_if(each.queue, [&](const admission_request& entry) {
            if (reachable(entry, now))
                return false;
            refuse(entry, error_kind::deadline_unreachable, out);
            return true;
        });
    }
    start_next(now, out);
}

time_point admission_lane::next_wakeup() const noexcept
{
    auto earliest = time_point::max();
    for (const auto& each : classes_) {
        if (!each.queue.empty())
            earliest = std::min(earliest, each.queue.back().deadline);
    }
    return earliest;
}

std::uint32_t admission_lane::waiting() const noexcept
{
    std::size_t count = 0;
    for (const auto& each : classes_)
        count += each.queue.size();
    return static_cast<std::uint32_t>(count);
}

duration admission_lane::retry_after() const noexcept
{
    return std::clamp<duration>(
        wait_of(waiting()), least_retry_after, greatest_retry_after);
}

/// By Little's law the queue drains at the limit over the mean latency.
duration admission_lane::wait_of(std::uint32_t ahead) const noexcept
{
    return mean_ * (ahead + 1) / limit_.allowed();
}

/// A query needs what nine of ten others finish in, but never more than half
/// of its own time: a lane whose queries all run to their deadline must not
/// refuse everything.
bool admission_lane::reachable(
    const admission_request& entry, time_point start) const noexcept
{
    if (latencies_.count() < enough_queries)
        return start < entry.deadline;
    const auto needed = std::min(
        latencies_.quantile(needed_quantile),
        (entry.deadline - entry.arrived) / 2);
    return start + needed <= entry.deadline;
}

std::uint32_t
admission_lane::ahead_of(const admission_request& wanted) const noexcept
{
    const auto own = static_cast<std::size_t>(wanted.priority);
    std::size_t ahead = 0;
    for (std::size_t i = 0; i < own; ++i)
        ahead += classes_[i].queue.size();
    const auto& queue = classes_[own].queue;
    const auto place =
        std::upper_bound(queue.begin(), queue.end(), wanted, later);
    ahead += static_cast<std::size_t>(queue.end() - place);
    return static_cast<std::uint32_t>(ahead);
}

bool admission_lane::make_room(caller_priority newcomer, admission_actions& out)
{
    for (auto i = class_count - 1; i > static_cast<std::size_t>(newcomer);
         --i) {
        auto& queue = classes_[i].queue;
        if (queue.empty())
            continue;
        refuse(queue.front(), error_kind::overloaded, out);
        queue.erase(queue.begin());
        return true;
    }
    return false;
}

void admission_lane::insert(const admission_request& wanted)
{
    auto& queue = classes_[static_cast<std::size_t>(wanted.priority)].queue;
    queue.insert(
        std::lower_bound(queue.begin(), queue.end(), wanted, later), wanted);
}

void admission_lane::start_next(time_point now, admission_actions& out)
{
    while (running_ < limit_.allowed()) {
        auto* const chosen = next_class();
        if (chosen == nullptr)
            return;
        const auto entry = chosen->queue.back();
        chosen->queue.pop_back();
        if (!reachable(entry, now)) {
            refuse(entry, error_kind::deadline_unreachable, out);
            continue;
        }
        ++running_;
        out.start.push_back(entry.id);
    }
}

admission_lane::waiting_class* admission_lane::next_class() noexcept
{
    waiting_class* chosen = nullptr;
    for (std::size_t i = 0; i < class_count; ++i) {
        auto& each = classes_[i];
        if (each.queue.empty())
            continue;
        if (chosen == nullptr || each.passed_over >= passes[i])
            chosen = &each;
    }
    for (auto& each : classes_) {
        if (&each == chosen || each.queue.empty())
            each.passed_over = 0;
        else
            ++each.passed_over;
    }
    return chosen;
}

void admission_lane::refuse(
    const admission_request& entry,
    error_kind reason,
    admission_actions& out) const
{
    out.refuse.push_back({entry.id, reason, retry_after()});
}

} // namespace peridotward
