#include "event_loop.hpp"

namespace peridotward {

namespace {

constexpr milliseconds max_wait{100};

} // namespace

void event_loop::post(task callback)
{
    {
        const std::scoped_lock lock{mutex_};
        posted_.push_back(std::move(callback));
    }
    client_.wake();
}

void event_loop::schedule_at(time_point due, task callback)
{
    timers_.emplace(due, std::move(callback));
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
        current_.swap(posted_);
    }
    for (auto& callback : current_)
        callback();
    current_.clear();
}

void event_loop::run_timers()
{
    const auto current_time = now();
    while (!timers_.empty() && timers_.begin()->first <= current_time) {
        auto timer = timers_.extract(timers_.begin());
        timer.mapped()();
    }
}

duration event_loop::next_wait() const
{
    if (timers_.empty())
        return max_wait;
    // Rounded up, since waits that end too early would repeat in a busy loop
    // until the timer is due.
    const auto wait =
        std::chrono::ceil<milliseconds>(timers_.begin()->first - now());
    return std::clamp<duration>(wait, duration::zero(), max_wait);
}

} // namespace peridotward
