#include "event_loop.hpp"

namespace peridotward {

namespace {

constexpr milliseconds longest_wait{100};

} // namespace

void event_loop::post(task work)
{
    {
        const std::scoped_lock lock{mutex_};
        posted_.push_back(std::move(work));
    }
    client_.wake();
}

void event_loop::at(time_point due, task work)
{
    timers_.emplace(due, std::move(work));
}

void event_loop::run()
{
    while (!stopped_) {
        run_posted();
        run_timers();
        client_.poll(next_wait());
    }
    run_posted();
}

void event_loop::stop() noexcept
{
    stopped_ = true;
    client_.wake();
}

void event_loop::run_posted()
{
    {
        const std::scoped_lock lock{mutex_};
        running_.swap(posted_);
    }
    for (auto& work : running_)
        work();
    running_.clear();
}

void event_loop::run_timers()
{
    const auto reached = now();
    while (!timers_.empty() && timers_.begin()->first <= reached) {
        auto node = timers_.extract(timers_.begin());
        node.mapped()();
    }
}

duration event_loop::next_wait() const
{
    if (timers_.empty())
        return longest_wait;
    // Rounded up: a wait that ends early would spin until the timer is due.
    const auto wait =
        std::chrono::ceil<milliseconds>(timers_.begin()->first - now());
    return std::clamp<duration>(wait, duration::zero(), longest_wait);
}

} // namespace peridotward
