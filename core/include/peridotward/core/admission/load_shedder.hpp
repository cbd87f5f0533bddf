#pragma once

#include <peridotward/base/time.hpp>
#include <peridotward/core/admission/admission_request.hpp>
#include <peridotward/core/admission/decaying_mean.hpp>
#include <peridotward/core/admission/priority_ranks.hpp>
#include <peridotward/core/placement/replica_health.hpp>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <vector>

namespace peridotward {

/// \brief Recent load reports of a group of replicas.
struct load_summary
{
    double weight = 0; ///< Number of reports; older ones count less.
    double mean = 0;   ///< Mean utilization, in [0, 2].
};

/// \brief Recent load reports that one instance got.
struct instance_loads
{
    double share = 1; ///< Share of the requests that the instance admits.
    load_summary all; ///< Of all services, of the last moments.
    /// Of each service, over a longer time.
    std::vector<load_summary> by_service;
};

/// \brief Admits as many requests to a set of services as their replicas can
/// serve without queueing.
///
/// \remarks Each request needs one replica of every service, except of a few
/// that it can do without. Replicas report their load, to which all instances
/// contribute, in their answers, and instances pass the reports on to each
/// other. So each instance adjusts the share that it admits on its own, and the
/// shares of all instances agree. Utilization responds to a changed share
/// within one service time, whereas a queue integrates the excess; so the share
/// follows utilization. While the load is unknown, the share grows until all
/// requests are admitted.
///
/// The share is that of the least urgent priority of recent requests; each more
/// urgent one has a multiple of it. So the shares of two instances agree
/// whatever each of them gets, also if they see few requests. Sans-IO.
class load_shedder
    : public boost::
          intrusive_ref_counter<load_shedder, boost::thread_unsafe_counter>
{
public:
    /// Utilization that the admitted share steers for. Pauses, slow answers and
    /// the uneven use of replicas need the rest.
    static constexpr double target_utilization = 0.95;
    /// Utilization that the busiest service may have that a request can't do
    /// without: one request waits for each slot. Other replicas and hedges make
    /// up for more of the queue at one replica than at all.
    static constexpr double max_service_utilization = 1.25;
    /// Mean utilization from which no hedges are sent.
    static constexpr double max_hedge_utilization = 0.85;
    /// Time between two adjustments: some answers of each service.
    static constexpr milliseconds adjust_interval{100};
    /// Time constants with which reported loads lose weight: in the mean of all
    /// services, which the share follows, and in a service's deviation from it.
    static constexpr milliseconds mean_time_constant{80};
    static constexpr milliseconds deviation_time_constant{600};
    /// Time constants of the rate of requests and of its peak.
    static constexpr milliseconds demand_time_constant{100};
    static constexpr milliseconds peak_time_constant{1000};
    /// Utilization of a replica with a long queue.
    static constexpr double max_utilization = 2;
    /// Share from which all requests are admitted: smaller changes are noise.
    static constexpr double shed_below = 0.9;
    /// Lowest admitted share of any priority, so that none starves and reports
    /// of load continue.
    static constexpr double min_share = 0.02;
    /// Ratio between the shares of two successive priorities. All requests of
    /// the more urgent one are admitted until the other one keeps an eighth: at
    /// 12 times the usual rate, a lower ratio refuses urgent requests early.
    static constexpr double priority_ratio = 8;

    /// \param services Services that each request needs a replica of.
    explicit load_shedder(std::size_t services)
        : own_(services, decaying_mean{deviation_time_constant}),
          deviations_(services, decaying_mean{deviation_time_constant}),
          own_mean_{mean_time_constant},
          mean_of_all_{mean_time_constant},
          older_mean_{deviation_time_constant},
          demand_{demand_time_constant},
          spare_{services}
    {}

    /// \brief Decides whether a request may start.
    [[nodiscard]] bool
    try_admit(const admission_request& request, time_point now);

    /// \brief Records the load that a replica reported to this instance.
    /// \param service Index of its service.
    void
    on_load(std::size_t service, const reported_load& load, time_point now);

    /// \brief Records what replicas reported to another instance.
    /// \param loads Ignored if they are of another number of services.
    void on_loads(const instance_loads& loads, time_point now);

    /// \returns What replicas reported to this instance.
    [[nodiscard]] instance_loads own_loads(time_point now);

    /// \returns Share of the fresh requests of the least urgent priority that
    /// are admitted, in [`min_share`, 1].
    [[nodiscard]] double share() const noexcept
    {
        return std::max(share_, min_share);
    }

    /// \returns Whether some requests are refused.
    [[nodiscard]] bool sheds() const noexcept { return share_ < shed_below; }

    /// \returns Whether replicas have room for attempts that a request could do
    /// without; they end before any request is refused.
    [[nodiscard]] bool has_spare_capacity() const noexcept
    {
        return share_ >= 1 && mean_ < max_hedge_utilization;
    }

    /// \returns Whether reports of other instances are wanted: some requests
    /// are refused, or too few reports seem to call for it.
    [[nodiscard]] bool wants_reports() const noexcept
    {
        return sheds() || suspects_overload_;
    }

    /// \returns The utilization that the share was last adjusted to: the mean
    /// of all services, or that of the busiest one that a request can't do
    /// without, relative to what it may have.
    [[nodiscard]] double utilization() const noexcept { return utilization_; }

    /// \returns The mean utilization of all services at that time.
    [[nodiscard]] double mean() const noexcept { return mean_; }

    /// \returns When a load was last reported.
    [[nodiscard]] time_point reported_at() const noexcept
    {
        return reported_at_;
    }

private:
    /// \returns The mean utilization of all services.
    [[nodiscard]] double mean_utilization(time_point now);
    void adjust(time_point now);
    void record_request(time_point now);
    /// \returns Whether the rate of requests has fallen, so that the queues
    /// get shorter without refusals.
    [[nodiscard]] bool burst_has_ended(time_point now);
    /// \brief Records the priority of a request.
    /// \returns Its rank.
    std::size_t record_priority(std::int32_t priority, time_point now);
    /// \returns The share of the fresh requests of a rank that are admitted.
    [[nodiscard]] double fresh_share(std::size_t rank) const noexcept;
    /// \returns The same for late requests. They give way to fresh ones of
    /// their rank, but get no less than fresh ones of the rank below: an
    /// overload makes the requests with the shortest target late, which are
    /// often the most urgent ones.
    [[nodiscard]] double late_share(std::size_t rank) const noexcept;
    /// \returns The lowest value of `share_`, at which the most urgent
    /// priority has `min_share`.
    [[nodiscard]] double lowest_share() const noexcept;
    /// \brief Estimates the utilization that the share follows.
    void estimate_utilization(time_point now);
    /// \returns The largest of `deviations` but for those of `spare_` services.
    [[nodiscard]] double decisive(std::vector<double>& deviations) const;

    /// By service: reports to this instance.
    std::vector<decaying_mean> own_;
    /// By service: deviation from the mean in the reports to any instance.
    std::vector<decaying_mean> deviations_;
    decaying_mean own_mean_;
    decaying_mean mean_of_all_; ///< Of the reports to any instance.
    /// Of the same, over a longer time: used while there are few reports, as at
    /// instances with few callers in a large fleet.
    decaying_mean older_mean_;
    decaying_mean demand_; ///< Of the requests; only the weight is used.
    double peak_demand_ = 0;
    time_point peak_at_;
    std::size_t spare_; ///< Of the request with the fewest so far.
    priority_ranks ranks_;
    double share_ = 1; ///< Of rank 0; below `min_share` only for ranks above.
    double utilization_ = 0;
    double mean_ = 0;
    bool suspects_overload_ = false;
    bool reported_ = false;  ///< Since the last adjustment.
    time_point reported_at_; ///< To this instance.
    time_point informed_at_; ///< To any instance.
    time_point adjusted_at_;
    /// By rank and `request_freshness`: admissions that are due.
    std::array<
        std::array<double, name_table<request_freshness>::entries.size()>,
        priority_ranks::max_rank + 1>
        due_{};
};

} // namespace peridotward
