#pragma once

#include "http_standin.hpp"

#include <future>
#include <thread>

namespace peridotward::testing {

/// An I/O context with its own thread, on which stand-ins run. The destructor
/// stops the context and joins the thread.
class standin_thread
{
public:
    standin_thread() : work_guard_{net::make_work_guard(context_)} {}
    ~standin_thread()
    {
        context_.stop();
        if (thread_.joinable())
            thread_.join();
    }
    standin_thread(const standin_thread&) = delete;
    standin_thread& operator=(const standin_thread&) = delete;

    [[nodiscard]] net::io_context& context() noexcept { return context_; }

    /// Starts the thread that runs the context.
    void start()
    {
        thread_ = std::thread{[this] { context_.run(); }};
    }

    /// Calls `action` on the thread and waits for its end.
    /// \returns The result of `action`.
    template<class Action>
    auto invoke(Action action)
    {
        std::packaged_task<decltype(action())()> task{std::move(action)};
        auto value = task.get_future();
        net::post(context_, [&task] { task(); });
        return value.get();
    }

private:
    net::io_context context_{1};
    net::executor_work_guard<net::io_context::executor_type> work_guard_;
    std::thread thread_;
};

} // namespace peridotward::testing
