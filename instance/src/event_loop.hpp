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

/// The one thread that owns all state of an instance.
class event_loop
{
public:
    using task = std::function<void()>;

    explicit event_loop(const clock& time) : clock_{&time} {}

    [[nodiscard]] time_point now() const noexcept { return clock_->now(); }
    [[nodiscard]] wall_time wall() const noexcept { return clock_->wall(); }
    [[nodiscard]] http_client& client() noexcept { return client_; }

    /// Runs `work` on the loop soon; callable from any thread.
    void post(task work);

    /// Runs `work` on the loop at `due`; for the loop's thread only.
    void at(time_point due, task work);
    void after(duration delay, task work)
    {
        at(now() + delay, std::move(work));
    }

    /// Runs until `stop`.
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
    std::vector<task> running_;
    std::multimap<time_point, task> timers_;
    std::atomic<bool> stopped_{false};
};

} // namespace peridotward
