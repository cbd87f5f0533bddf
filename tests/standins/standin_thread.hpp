#pragma once

#include "http_standin.hpp"

#include <future>
#include <thread>

namespace peridotward::testing {

/// Runs stand-ins on a thread of their own until it is destroyed.
class standin_thread
{
public:
    standin_thread() : guard_{net::make_work_guard(context_)} {}
    ~standin_thread()
    {
        context_.stop();
        if (thread_.joinable())
            thread_.join();
    }
    standin_thread(const standin_thread&) = delete;
    standin_thread& operator=(const standin_thread&) = delete;

    [[nodiscard]] net::io_context& context() noexcept { return context_; }

    /// Starts to serve what listens on the context.
    void start()
    {
        thread_ = std::thread{[this] { context_.run(); }};
    }

    /// \returns What `action` returns when called on the stand-ins' thread.
    template<class Action>
    auto ask(Action action)
    {
        std::packaged_task<decltype(action())()> task{std::move(action)};
        auto answer = task.get_future();
        net::post(context_, [&task] { task(); });
        return answer.get();
    }

private:
    net::io_context context_{1};
    net::executor_work_guard<net::io_context::executor_type> guard_;
    std::thread thread_;
};

} // namespace peridotward::testing
