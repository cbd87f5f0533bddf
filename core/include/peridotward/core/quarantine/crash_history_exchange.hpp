#pragma once

#include <peridotward/base/random.hpp>
#include <peridotward/core/membership/peer_message.hpp>
#include <peridotward/core/placement/replica_selector.hpp>
#include <peridotward/core/quarantine/crash_history.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief Spreads the records of requests that crash upstreams among all
/// instances.
///
/// \remarks Sans-IO: the owner carries the messages, which may be lost or late.
/// Changes go to a few random instances, which pass them on. An instance that
/// starts, was paused or was cut off from the others asks for all records.
class crash_history_exchange
{
public:
    /// Instances that get a change from each instance, on each poll.
    static constexpr std::size_t fanout = 4;
    static constexpr std::size_t max_records_per_message = 64;
    /// Messages with which an instance answers a request for all records.
    static constexpr std::size_t max_answer_messages = 8;
    /// Interval in which suspected requests are repeated to a random instance,
    /// which may have missed them.
    static constexpr seconds repeat_interval{1};
    /// Records from this level are repeated.
    static constexpr std::uint32_t min_repeated_level = 2;
    static constexpr milliseconds request_interval{250};
    /// Time after which an instance without an answer has nothing to ask for:
    /// all instances have just started.
    static constexpr seconds max_request_time{5};
    /// Time between polls after which this process was paused.
    static constexpr seconds pause_limit{1};

    crash_history_exchange(crash_history& history, random_source& random)
        : history_{&history}, random_{&random}
    {}

    /// \brief Sends what is due; called periodically, and at once after a
    /// crash.
    void poll(
        const fleet_view& fleet,
        time_point now,
        std::vector<outgoing_message>& out);

    void on_message(
        std::string_view from,
        const crash_records& message,
        time_point now,
        std::vector<outgoing_message>& out);

    /// Called when a message raised the level of a request.
    std::function<void(request_fingerprint, std::string_view from)> on_raised;

private:
    [[nodiscard]] std::vector<std::string>
    random_others(const fleet_view& fleet, std::size_t count);
    void request_records(
        const fleet_view& fleet,
        time_point now,
        std::vector<outgoing_message>& out);

    crash_history* history_;
    random_source* random_;
    bool complete_ = false; ///< Whether no record was missed before.
    time_point request_until_;
    time_point next_request_;
    time_point next_repeat_;
    time_point last_poll_;
    std::size_t last_others_ = 0;
};

} // namespace peridotward
