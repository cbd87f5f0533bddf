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
    removed,      ///< Out in the bundle, or leaving in the list.
    draining,     ///< The upstream says that it leaves.
    no_slot,      ///< All slots that it bears are in use.
    domain_limit, ///< The share of the failure domain's limit is in use.
    reserved_for_priority, ///< A free slot is kept for more urgent work.
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

/// \brief Leave to send one request to one upstream.
struct budget_grant
{
    resource_id upstream{};
    resource_id backing{}; ///< Whose share of the domain's limit it uses.
    time_point latest_end; ///< The request's deadline may not be later.
};

/// \brief One upstream's budget, for the state dump.
struct budget_view
{
    upstream_index upstream;
    warmup_phase warmup = warmup_phase::unproven;
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0; ///< Slots that it bears now.
    std::uint32_t slots = 0; ///< By the bundle.
    std::uint32_t connections = 0;
    bool removed = false;
    bool draining = false;
};

/// \brief What this instance may send to the upstreams that it holds.
///
/// \remarks Sans-IO. Asks the lease on each send. A request that was granted
/// counts until `on_end`, also after the lease is lost.
class upstream_budgets
{
public:
    /// \param leases Outlives this object.
    explicit upstream_budgets(
        const lease_controller& leases, fleet_timing timing = {});

    /// \brief Takes a newer bundle into force; counts move along by id.
    /// \remarks The lease controller takes it first.
    void on_bundle(bundle_ptr in_force, time_point now);

    /// \brief Takes in which upstreams the published list says are leaving.
    void on_list(const instance_list& list, time_point now);

    /// \brief Asks for leave to send one request now.
    [[nodiscard]] tl::expected<budget_grant, budget_refusal> try_begin(
        upstream_index upstream,
        caller_priority priority,
        bool hedge,
        time_point now);

    /// \brief Ends what `try_begin` granted; to be called exactly once for
    /// each grant.
    ///
    /// \remarks A request that ends without the upstream's answer, by timeout
    /// or a broken connection, may still run there: call this no earlier than
    /// the request's deadline plus `fleet_timing::lease_margin`.
    void on_end(
        const budget_grant& granted,
        attempt_outcome outcome,
        const upstream_report& report,
        duration elapsed,
        time_point now);

    /// \brief Takes in a report that came without a request's answer.
    void on_report(
        upstream_index upstream, const upstream_report& report, time_point now);

    /// \returns Slots that a request of normal priority would find now.
    [[nodiscard]] std::uint32_t
    free_slots(upstream_index upstream, time_point now) const noexcept;

    /// \returns How many connections to `upstream` this instance may keep.
    ///
    /// \remarks A fifth of the published limit, since any of the five voters
    /// may still have connections open from an earlier hold.
    [[nodiscard]] std::uint32_t
    connection_limit(upstream_index upstream) const noexcept;

    /// \returns Whether a new connection may be opened now; if so it counts
    /// until `on_disconnect`.
    [[nodiscard]] bool try_connect(upstream_index upstream, time_point now);
    void on_disconnect(upstream_index upstream) noexcept;

    /// \returns Requests in flight under each lease, by upstream, with those
    /// that use its share of the domain's limit.
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
        std::uint32_t backed = 0; ///< Requests that use its domain share.
        std::uint32_t connections = 0;
        time_point held_since;
        time_point next_connect;
        time_point returned;  ///< When it was admitted again.
        bool removed = false; ///< Out in the bundle or leaving in the list.
        bool draining = false;
    };

    void follow_lease(upstream_index upstream, time_point now);
    void bring_back(upstream_index upstream, time_point now);
    void update_removed(upstream_index upstream, time_point now);
    void
    note_phase(upstream_index upstream, upstream_phase phase, time_point now);
    void note_usual(
        service_index index, duration elapsed, const warmup_tracker& warmup);
    void update_busy(upstream_index upstream);
    void carry_states(const bundle& newer, const bundle& older);
    [[nodiscard]] std::optional<budget_refusal> slot_refusal(
        upstream_index upstream,
        caller_priority priority,
        bool hedge) const noexcept;
    [[nodiscard]] upstream_index
    backing_for(upstream_index upstream, time_point now) const noexcept;
    [[nodiscard]] bool
    has_share(upstream_index upstream, time_point now) const noexcept;

    const lease_controller* leases_;
    fleet_timing timing_;
    bundle_ptr in_force_;
    std::vector<state> states_; ///< By upstream.
    std::vector<std::uint32_t> busy_;
    std::vector<mean_latency> usual_;  ///< By service.
    std::vector<std::string> leaving_; ///< By the list, sorted.
    domain_shares shares_;
};

} // namespace peridotward
