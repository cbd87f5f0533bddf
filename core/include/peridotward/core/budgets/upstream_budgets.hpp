#pragma once

#include <peridotward/base/time.hpp>
#include <peridotward/config/bundle.hpp>
#include <peridotward/config/instance_list.hpp>
#include <peridotward/core/budgets/domain_shares.hpp>
#include <peridotward/core/budgets/lease_controller.hpp>
#include <peridotward/core/membership/fleet_timing.hpp>
#include <peridotward/core/placement/mean_latency.hpp>
#include <peridotward/core/placement/warmup_tracker.hpp>
#include <peridotward/core/query/attempt.hpp>

#include <tl/expected.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace peridotward {

/// \brief Why a request may not be sent to an upstream now.
enum class budget_refusal : std::uint8_t
{
    not_owner,    ///< No lease, or it ends too soon.
    removed,      ///< Removed by the bundle, or leaving in the instance list.
    draining,     ///< The upstream reports that it is draining.
    no_slot,      ///< All slots of the current limit are in use.
    domain_limit, ///< The share of the failure domain's limit is in use.
    reserved_for_priority, ///< The last slot is kept for urgent requests.
};

template<>
struct name_table<budget_refusal>
{
    static constexpr std::array entries{
        std::pair{budget_refusal::not_owner, std::string_view{"not_owner"}},
        std::pair{budget_refusal::removed, std::string_view{"removed"}},
        std::pair{budget_refusal::draining, std::string_view{"draining"}},
        std::pair{budget_refusal::no_slot, std::string_view{"no_slot"}},
        std::pair{
            budget_refusal::domain_limit, std::string_view{"domain_limit"}},
        std::pair{
            budget_refusal::reserved_for_priority,
            std::string_view{"kept_for_more"}},
    };
};

/// \brief Permission to send one request to one upstream.
struct budget_grant
{
    resource_id upstream{};
    resource_id share_owner{}; ///< Upstream whose domain share is used.
    time_point latest_end;     ///< Latest deadline that the request may have.
};

/// \brief Budget of one upstream, for the state dump.
struct budget_view
{
    upstream_index upstream;
    warmup_phase warmup = warmup_phase::unproven;
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0; ///< Slots that may be used now.
    std::uint32_t slots = 0; ///< Slots according to the bundle.
    std::uint32_t connections = 0;
    bool removed = false;
    bool draining = false;
};

/// \brief Limits the requests of this instance to the upstreams that it holds.
///
/// \remarks Sans-IO. Checks the lease on each send. A granted request counts
/// until `on_end`, even when the lease is lost before.
class upstream_budgets
{
public:
    /// \param leases Must outlive this object.
    explicit upstream_budgets(
        const lease_controller& leases, fleet_timing timing = {});

    /// \brief Switches to a newer bundle; counters are carried over by upstream
    /// id.
    ///
    /// \remarks Call the lease controller's `on_bundle` first.
    void on_bundle(bundle_ptr in_force, time_point now);

    /// \brief Updates which upstreams are leaving according to the published
    /// list.
    void on_list(const instance_list& list, time_point now);

    /// \brief Requests permission to send one request now.
    [[nodiscard]] tl::expected<budget_grant, budget_refusal> try_begin(
        upstream_index upstream,
        caller_priority priority,
        bool hedge,
        time_point now);

    /// \brief Ends a request that `try_begin` granted; call it exactly once for
    /// each grant.
    ///
    /// \remarks A request that ended without an answer, by a timeout or a
    /// broken connection, may still run at the upstream: call this no earlier
    /// than the request's deadline plus `fleet_timing::lease_margin`.
    void on_end(
        const budget_grant& grant,
        attempt_outcome outcome,
        const upstream_report& report,
        duration elapsed,
        time_point now);

    /// \brief Handles an upstream's report that came without an answer.
    void on_report(
        upstream_index upstream, const upstream_report& report, time_point now);

    /// \returns The number of slots free for requests of normal priority.
    [[nodiscard]] std::uint32_t
    free_slots(upstream_index upstream, time_point now) const noexcept;

    /// \returns The maximum number of connections from this instance to
    /// `upstream`.
    ///
    /// \remarks A fifth of the published limit, since any of the five voters
    /// may still have connections open from an earlier hold.
    [[nodiscard]] std::uint32_t
    connection_limit(upstream_index upstream) const noexcept;

    /// \returns Whether a new connection may be opened now; if so it counts
    /// until `on_disconnect`.
    [[nodiscard]] bool try_connect(upstream_index upstream, time_point now);
    void on_disconnect(upstream_index upstream) noexcept;

    /// \returns Requests in flight under each lease, by upstream, including
    /// those that use its share of the domain's limit.
    [[nodiscard]] std::span<const std::uint32_t> busy() const noexcept
    {
        return busy_;
    }

    /// \returns The budget of `upstream`.
    [[nodiscard]] budget_view
    view(upstream_index upstream, time_point now) const;

private:
    struct state
    {
        warmup_tracker warmup;
        std::uint32_t in_flight = 0;
        std::uint32_t shares_in_use = 0; ///< Requests using its domain share.
        std::uint32_t connections = 0;
        time_point held_since;
        time_point next_connect;
        time_point readmitted_at; ///< When it was last readmitted.
        bool removed = false;     ///< By the bundle or the instance list.
        bool draining = false;
    };

    void sync_with_lease(upstream_index upstream, time_point now);
    void readmit(upstream_index upstream, time_point now);
    void update_removed(upstream_index upstream, time_point now);
    void
    update_phase(upstream_index upstream, upstream_phase phase, time_point now);
    void update_mean_latency(
        service_index service, duration elapsed, const warmup_tracker& warmup);
    void update_busy(upstream_index upstream);
    void carry_states(const bundle& newer, const bundle& older);
    [[nodiscard]] std::optional<budget_refusal> slot_refusal(
        upstream_index upstream,
        caller_priority priority,
        bool hedge) const noexcept;
    [[nodiscard]] upstream_index
    share_owner_for(upstream_index upstream, time_point now) const noexcept;
    [[nodiscard]] bool
    has_unused_share(upstream_index upstream, time_point now) const noexcept;

    const lease_controller* leases_;
    fleet_timing timing_;
    bundle_ptr in_force_;
    std::vector<state> states_; ///< By upstream.
    std::vector<std::uint32_t> busy_;
    std::vector<mean_latency> mean_latencies_; ///< By service.
    std::vector<std::string> leaving_; ///< Sorted ids from the instance list.
    domain_shares shares_;
};

} // namespace peridotward
