#include <peridotward/core/admission/load_report_exchange.hpp>

#include <algorithm>
#include <cmath>

namespace peridotward {

namespace {

/// Limit on the units of the weight that another instance's reports get.
constexpr std::uint32_t max_weight_units = 1U << 20U;

std::uint32_t to_units(double value, double unit, double max) noexcept
{
    return static_cast<std::uint32_t>(
        std::clamp(std::round(value / unit), 0.0, max));
}

char to_byte(double value, double unit) noexcept
{
    constexpr double max_byte = 255;
    return static_cast<char>(to_units(value, unit, max_byte));
}

load_summary summary_of(std::uint32_t mean, std::uint32_t weight) noexcept
{
    return {
        weight * load_report_exchange::weight_unit,
        std::min(
            mean * load_report_exchange::mean_unit,
            load_shedder::max_utilization)};
}

} // namespace

void load_report_exchange::poll(
    const fleet_view& fleet, time_point now, std::vector<outgoing_message>& out)
{
    if (fleet.others.empty())
        return;
    for (const auto& [services, shedder] : shedders_->all()) {
        if (shedder->wants_reports())
            wanted_at_[services] = now;
        const auto wanted_at = wanted_at_.find(services);
        const bool wanted = wanted_at != wanted_at_.end() &&
                            now - wanted_at->second < wanted_time;
        if (!wanted || now - shedder->reported_at() >
                           load_shedder::deviation_time_constant)
            continue;
        load_reports message;
        message.services = services;
        message.wanted = shedder->wants_reports();
        const auto loads = shedder->own_loads(now);
        message.share = to_units(loads.share, share_unit, 1 / share_unit);
        message.mean = to_units(loads.all.mean, mean_unit, max_weight_units);
        message.weight =
            to_units(loads.all.weight, weight_unit, max_weight_units);
        for (const auto& [weight, mean] : loads.by_service) {
            message.means += to_byte(mean, mean_unit);
            message.weights += to_byte(weight, weight_unit);
        }
        for (std::size_t i = 0; i < fanout; ++i)
            out.push_back(
                {fleet.others[random_->below(fleet.others.size())], message});
    }
}

void load_report_exchange::on_message(
    const load_reports& message, time_point now)
{
    auto* const shedder = shedders_->find(message.services);
    if (shedder == nullptr || message.means.size() != message.weights.size())
        return;
    if (message.wanted)
        wanted_at_[message.services] = now;
    instance_loads loads;
    loads.share = message.share * share_unit;
    loads.all =
        summary_of(message.mean, std::min(message.weight, max_weight_units));
    loads.by_service.reserve(message.means.size());
    for (std::size_t i = 0; i < message.means.size(); ++i)
        loads.by_service.push_back(summary_of(
            static_cast<unsigned char>(message.means[i]),
            static_cast<unsigned char>(message.weights[i])));
    shedder->on_loads(loads, now);
}

} // namespace peridotward
