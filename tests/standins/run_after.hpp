#pragma once

#include <boost/asio.hpp>

#include <chrono>
#include <memory>
#include <utility>

namespace peridotward::testing {

/// Calls `action` on the thread of `context` after `delay_ms` milliseconds.
template<class Action>
void run_after(boost::asio::io_context& context, double delay_ms, Action action)
{
    const std::chrono::nanoseconds delay{
        static_cast<std::int64_t>(delay_ms * 1e6)};
    auto timer = std::make_shared<boost::asio::steady_timer>(context, delay);
    timer->async_wait([timer, action = std::move(action)](
                          boost::system::error_code code) mutable {
        if (!code)
            action();
    });
}

} // namespace peridotward::testing
