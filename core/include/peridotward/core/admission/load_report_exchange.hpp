#pragma once

#include <peridotward/base/random.hpp>
#include <peridotward/core/admission/load_shedders.hpp>
#include <peridotward/core/membership/peer_message.hpp>
#include <peridotward/core/placement/replica_selector.hpp>

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotward {

/// \brief Passes the loads that replicas report on to other instances while
/// an overload is likely.
///
/// \remarks An instance with few callers gets few reports of its own; without
/// those of others it would go on refusing after an overload, or admit too many
/// requests in one. Sans-IO: the owner carries the messages, which may be lost
/// or late.
class load_report_exchange
{
public:
    /// Random instances that get the reports on each poll.
    static constexpr std::size_t fanout = 3;
    /// Reports are passed on for this time after an instance wanted them.
    static constexpr seconds wanted_time{1};
    /// Units of the numbers in a message.
    static constexpr double share_unit = 0.001;
    static constexpr double mean_unit = 0.01;
    static constexpr double weight_unit = 0.125;

    load_report_exchange(load_shedders& shedders, random_source& random)
        : shedders_{&shedders}, random_{&random}
    {}

    /// \brief Sends what is due; called every `load_shedder::adjust_interval`.
    void poll(
        const fleet_view& fleet,
        time_point now,
        std::vector<outgoing_message>& out);

    void on_message(const load_reports& message, time_point now);

private:
    load_shedders* shedders_;
    random_source* random_;
    /// By set of services: when some instance last wanted reports.
    std::unordered_map<std::string, time_point> wanted_at_;
};

} // namespace peridotward
