#include <peridotward/core/admission/load_shedder.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace peridotward {

namespace {

/// Weight of the queue in the utilization, relative to that of the slots.
constexpr double queue_weight = 0.25;
/// Queued requests for each slot above which a longer queue makes no
/// difference.
constexpr double max_queue = 4;
static_assert(1 + queue_weight * max_queue == load_shedder::max_utilization);
constexpr double min_utilization = 0.01;
/// Exponent of the ratio between the target and the utilization in one
/// adjustment; below 1, since the answers lag behind the share.
constexpr double adjust_exponent = 0.4;
/// Increase of the exponent by the utilization above 1: a queue that grows has
/// to end soon.
constexpr double queue_exponent = 1.2;
/// Factor of the exponent while the mean is that of a longer time: the ratio of
/// the two time constants, rounded up.
constexpr double older_mean_exponent = 0.2;
/// Limits of one adjustment.
constexpr double max_decrease = 0.4;
constexpr double max_increase = 1.5;
/// Utilization that calls for a smaller share at once; a lower one does if it
/// doesn't fall by itself, as it does after a short burst.
constexpr double urgent_utilization = 1.9;
/// Decrease of the utilization in one interval that is no noise.
constexpr double certain_decrease = 0.1;
/// Part of its recent peak below which the rate of requests shows that a burst
/// has ended, and requests in the peak from which it does.
constexpr double ended_demand = 0.6;
constexpr double min_peak_demand = 5;
/// Growth of the share in one interval without any report.
constexpr double unknown_increase = 1.15;
/// Standard deviation of the utilization in a single report.
constexpr double report_deviation = 0.6;
/// Reports from which the mean, or the deviation of a service, counts.
constexpr double min_reports = 3;
/// Reports of each service from which an instance needs no others.
constexpr double min_own_weight = 0.5;
/// Weight of another instance's share, in the logarithm: the shares of all
/// instances agree after some messages.
constexpr double peer_share_weight = 0.05;
/// Exponent of the share for requests that are late already.
constexpr int late_exponent = 3;

double utilization_of(const reported_load& load) noexcept
{
    const double slots = load.slots;
    return std::min(1.0, load.running / slots) +
           queue_weight * std::min(max_queue, load.waiting / slots);
}

} // namespace

void load_shedder::on_load(
    std::size_t service, const reported_load& load, time_point now)
{
    if (load.slots == 0)
        return;
    const double utilization = utilization_of(load);
    own_[service].add(utilization, 1, now);
    own_mean_.add(utilization, 1, now);
    mean_of_all_.add(utilization, 1, now);
    older_mean_.add(utilization, 1, now);
    deviations_[service].add(utilization - mean_utilization(now), 1, now);
    reported_ = true;
    reported_at_ = now;
    informed_at_ = now;
    adjust(now);
}

void load_shedder::on_loads(const instance_loads& loads, time_point now)
{
    if (loads.by_service.size() != own_.size())
        return;
    double weight = 0;
    double total = 0;
    for (const auto& each : loads.by_service) {
        weight += each.weight;
        total += each.weight * each.mean;
    }
    if (weight <= 0)
        return;
    for (std::size_t i = 0; i < own_.size(); ++i) {
        const auto& reports = loads.by_service[i];
        deviations_[i].add(reports.mean - total / weight, reports.weight, now);
    }
    mean_of_all_.add(loads.all.mean, loads.all.weight, now);
    older_mean_.add(total / weight, weight, now);
    // The utilization only determines what all instances admit together.
    share_ *= std::pow(
        std::clamp(loads.share, lowest_share(), 1.0) / share_,
        peer_share_weight);
    reported_ = true;
    informed_at_ = now;
    adjust(now);
}

instance_loads load_shedder::own_loads(time_point now)
{
    instance_loads result;
    result.share = share_;
    result.all = {own_mean_.weight(now), own_mean_.mean()};
    result.by_service.reserve(own_.size());
    for (auto& reports : own_)
        result.by_service.push_back({reports.weight(now), reports.mean()});
    return result;
}

double load_shedder::mean_utilization(time_point now)
{
    // What other instances pass on is older.
    const double enough = min_own_weight * static_cast<double>(own_.size());
    if (own_mean_.weight(now) >= enough)
        return own_mean_.mean();
    return mean_of_all_.weight(now) >= min_reports ? mean_of_all_.mean()
                                                   : older_mean_.mean();
}

double load_shedder::decisive(std::vector<double>& deviations) const
{
    const auto position =
        deviations.begin() +
        static_cast<std::ptrdiff_t>(std::min(spare_, deviations.size() - 1));
    std::nth_element(
        deviations.begin(), position, deviations.end(), std::greater<>{});
    return *position;
}

void load_shedder::estimate_utilization(time_point now)
{
    std::vector<double> deviations;
    std::vector<double> certain_deviations;
    deviations.reserve(deviations_.size());
    certain_deviations.reserve(deviations_.size());
    for (auto& reports : deviations_) {
        const double weight = reports.weight(now);
        const double deviation = reports.mean();
        deviations.push_back(deviation);
        // Few reports say little of a service: its deviation counts as far as
        // it exceeds the standard error.
        const double certain =
            weight < min_reports
                ? 0
                : std::max(
                      0.0,
                      std::abs(deviation) -
                          report_deviation / std::sqrt(weight));
        certain_deviations.push_back(std::copysign(certain, deviation));
    }
    mean_ = mean_utilization(now);
    constexpr double scale = target_utilization / max_service_utilization;
    const auto binding = [&](std::vector<double>& each) {
        return std::max(mean_, (mean_ + decisive(each)) * scale);
    };
    utilization_ = std::clamp(
        binding(certain_deviations), min_utilization, max_utilization);
    suspects_overload_ = binding(deviations) > target_utilization;
}

void load_shedder::adjust(time_point now)
{
    if (now - adjusted_at_ < adjust_interval)
        return;
    const bool recent =
        std::max(own_mean_.weight(now), mean_of_all_.weight(now)) >=
        min_reports;
    const bool known = recent || older_mean_.weight(now) >= min_reports;
    if (std::exchange(reported_, false) && known) {
        const double before = utilization_;
        estimate_utilization(now);
        const double exponent =
            (adjust_exponent +
             queue_exponent * std::max(0.0, utilization_ - 1)) *
            (recent ? 1 : older_mean_exponent);
        const double factor =
            std::pow(target_utilization / utilization_, exponent);
        const bool stays = before > target_utilization &&
                           utilization_ > before - certain_decrease;
        if (factor >= 1 || (stays && (sheds() || !burst_has_ended(now))) ||
            utilization_ >= urgent_utilization)
            share_ *= std::clamp(factor, max_decrease, max_increase);
    }
    const std::chrono::duration<double> unknown =
        known ? now - std::max(adjusted_at_, informed_at_) : now - adjusted_at_;
    const std::chrono::duration<double> interval = adjust_interval;
    if (unknown > interval)
        share_ *= std::pow(unknown_increase, unknown / interval);
    share_ = std::clamp(share_, lowest_share(), 1.0);
    adjusted_at_ = now;
}

void load_shedder::record_request(time_point now)
{
    demand_.add(0, 1, now);
    const std::chrono::duration<double> age = now - peak_at_;
    const std::chrono::duration<double> time_constant = peak_time_constant;
    peak_demand_ = std::max(
        demand_.weight(now), peak_demand_ * std::exp(-age / time_constant));
    peak_at_ = now;
}

bool load_shedder::burst_has_ended(time_point now)
{
    return peak_demand_ >= min_peak_demand &&
           demand_.weight(now) < ended_demand * peak_demand_;
}

std::size_t load_shedder::record_priority(std::int32_t priority, time_point now)
{
    const auto before = ranks_.highest();
    const auto rank = ranks_.record(priority, now);
    // The share of the most urgent priority stays as it is.
    if (sheds() && before != ranks_.highest())
        share_ = std::clamp(
            share_ * std::pow(
                         priority_ratio,
                         static_cast<double>(before) -
                             static_cast<double>(ranks_.highest())),
            lowest_share(),
            1.0);
    return rank;
}

double load_shedder::lowest_share() const noexcept
{
    return min_share /
           std::pow(priority_ratio, static_cast<double>(ranks_.highest()));
}

double load_shedder::fresh_share(std::size_t rank) const noexcept
{
    const double share =
        share_ * std::pow(priority_ratio, static_cast<double>(rank));
    return std::clamp(share, min_share, 1.0);
}

double load_shedder::late_share(std::size_t rank) const noexcept
{
    return std::max(
        std::pow(fresh_share(rank), late_exponent),
        rank > 0 ? fresh_share(rank - 1) : min_share);
}

bool load_shedder::try_admit(const admission_request& request, time_point now)
{
    spare_ = std::min(spare_, request.spare_parts);
    record_request(now);
    const auto rank = record_priority(request.priority, now);
    adjust(now);
    if (!sheds())
        return true;
    auto& due = due_[rank][static_cast<std::size_t>(request.freshness)];
    due += request.freshness == request_freshness::fresh ? fresh_share(rank)
                                                         : late_share(rank);
    if (due >= 1) {
        due = std::clamp(due - 1, 0.0, 1.0);
        return true;
    }
    return false;
}

} // namespace peridotward
