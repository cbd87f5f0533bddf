#include <peridotward/core/admission/admission_queue.hpp>

#include <algorithm>

namespace peridotward {

namespace {

constexpr int mean_weight = 16;
constexpr double needed_quantile = 0.9;
constexpr std::uint32_t min_samples = 16;
constexpr milliseconds min_retry_after{10};
constexpr milliseconds max_retry_after{5000};

bool has_later_deadline(
    const admission_request& a, const admission_request& b) noexcept
{
    return a.deadline > b.deadline;
}

} // namespace

void admission_queue::arrive(
    const admission_request& request, time_point now, admission_actions& out)
{
    const bool can_start = running_ < limit_.allowed() && waiting() == 0;
    const auto expected_wait =
        can_start ? duration{} : estimated_wait(queued_ahead_of(request));
    if (!can_meet_deadline(request, now + expected_wait)) {
        refuse(request, error_kind::deadline_unreachable, out);
        return;
    }
    if (can_start) {
        ++running_;
        out.start.push_back(request.id);
        return;
    }
    if (waiting() >= max_waiting_ &&
        !evict_lower_priority(request.priority, out)) {
        refuse(request, error_kind::overloaded, out);
        return;
    }
    insert(request);
    start_next(now, out);
}

void admission_queue::on_finished(
    time_point started,
    double stalled_share,
    time_point now,
    admission_actions& out)
{
    limit_.on_finished(started, stalled_share, --running_, now);
    const auto elapsed = now - started;
    latencies_.add(elapsed);
    if (mean_latency_ == duration::zero())
        mean_latency_ = elapsed;
    else
        mean_latency_ += (elapsed - mean_latency_) / mean_weight;
    start_next(now, out);
}

bool admission_queue::withdraw(std::uint64_t id) noexcept
{
    for (auto& each : classes_) {
        const auto found = std::find_if(
            each.queue.begin(), each.queue.end(), [&](const auto& request) {
                return request.id == id;
            });
        if (found == each.queue.end())
            continue;
        each.queue.erase(found);
        return true;
    }
    return false;
}

void admission_queue::on_timeout(time_point now, admission_actions& out)
{
    for (auto& each : classes_) {
        std::erase_if(each.queue, [&](const admission_request& request) {
            if (can_meet_deadline(request, now))
                return false;
            refuse(request, error_kind::deadline_unreachable, out);
            return true;
        });
    }
    start_next(now, out);
}

time_point admission_queue::next_wakeup() const noexcept
{
    auto earliest = time_point::max();
    for (const auto& each : classes_) {
        if (!each.queue.empty())
            earliest = std::min(earliest, each.queue.back().deadline);
    }
    return earliest;
}

std::uint32_t admission_queue::waiting() const noexcept
{
    std::size_t count = 0;
    for (const auto& each : classes_)
        count += each.queue.size();
    return static_cast<std::uint32_t>(count);
}

duration admission_queue::retry_after() const noexcept
{
    return std::clamp<duration>(
        estimated_wait(waiting()), min_retry_after, max_retry_after);
}

/// By Little's law the queue drains at the limit divided by the mean latency.
duration admission_queue::estimated_wait(std::uint32_t ahead) const noexcept
{
    return mean_latency_ * (ahead + 1) / limit_.allowed();
}

/// A query needs the time within which nine of ten others finish, but at most
/// half of its own time budget: otherwise a search whose queries all run until
/// their deadline would refuse everything.
bool admission_queue::can_meet_deadline(
    const admission_request& request, time_point start) const noexcept
{
    if (latencies_.count() < min_samples)
        return start < request.deadline;
    const auto needed_time = std::min(
        latencies_.quantile(needed_quantile),
        (request.deadline - request.arrived) / 2);
    return start + needed_time <= request.deadline;
}

std::uint32_t admission_queue::queued_ahead_of(
    const admission_request& request) const noexcept
{
    const auto own_class = static_cast<std::size_t>(request.priority);
    std::size_t ahead = 0;
    for (std::size_t i = 0; i < own_class; ++i)
        ahead += classes_[i].queue.size();
    const auto& queue = classes_[own_class].queue;
    const auto position = std::upper_bound(
        queue.begin(), queue.end(), request, has_later_deadline);
    ahead += static_cast<std::size_t>(queue.end() - position);
    return static_cast<std::uint32_t>(ahead);
}

bool admission_queue::evict_lower_priority(
    caller_priority arriving, admission_actions& out)
{
    for (auto i = class_count - 1; i > static_cast<std::size_t>(arriving);
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

void admission_queue::insert(const admission_request& request)
{
    auto& queue = classes_[static_cast<std::size_t>(request.priority)].queue;
    queue.insert(
        std::lower_bound(
            queue.begin(), queue.end(), request, has_later_deadline),
        request);
}

void admission_queue::start_next(time_point now, admission_actions& out)
{
    while (running_ < limit_.allowed()) {
        auto* const chosen = next_class();
        if (chosen == nullptr)
            return;
        const auto request = chosen->queue.back();
        chosen->queue.pop_back();
        if (!can_meet_deadline(request, now)) {
            refuse(request, error_kind::deadline_unreachable, out);
            continue;
        }
        ++running_;
        out.start.push_back(request.id);
    }
}

admission_queue::waiting_class* admission_queue::next_class() noexcept
{
    waiting_class* chosen = nullptr;
    for (std::size_t i = 0; i < class_count; ++i) {
        auto& each = classes_[i];
        if (each.queue.empty())
            continue;
        if (chosen == nullptr || each.bypassed >= max_bypasses[i])
            chosen = &each;
    }
    for (auto& each : classes_) {
        if (&each == chosen || each.queue.empty())
            each.bypassed = 0;
        else
            ++each.bypassed;
    }
    return chosen;
}

void admission_queue::refuse(
    const admission_request& request,
    error_kind reason,
    admission_actions& out) const
{
    out.refuse.push_back({request.id, reason, retry_after()});
}

} // namespace peridotward
