#pragma once

#include <peridotward/base/clock.hpp>
#include <peridotward/http/http_client.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace peridotward {

/// Runs tasks, timers and HTTP client calls on the one thread that owns all
/// state of an instance.
class event_loop
{
public:
    using task = std::function<void()>;

    explicit event_loop(const clock& time) : clock_{&time} {}

    [[nodiscard]] time_point now() const noexcept { return clock_->now(); }
    [[nodiscard]] wall_time wall() const noexcept { return clock_->wall(); }
    [[nodiscard]] http_client& client() noexcept { return client_; }

    /// Runs `callback` on the loop as soon as possible. Thread-safe.
    void post(task callback);

    /// Runs `callback` on the loop at `due`. Must be called on the loop's
    /// thread.
    void schedule_at(time_point due, task callback);
    void schedule_after(duration delay, task callback)
    {
        schedule_at(now() + delay, std::move(callback));
    }

    /// Runs until `stop` is called.
    void run();
    void stop() noexcept;

private:
    void run_posted();
    void run_timers();
    [[nodiscard]] duration next_wait() const;

    const clock* clock_;
    http_client client_;
    std::mutex mutex_;
    std::vector<task> posted_;
    std::vector<task> current_;
    std::multimap<time_point, task> timers_;
    std::atomic<bool> stopped_{false};
};

} // namespace peridotward
