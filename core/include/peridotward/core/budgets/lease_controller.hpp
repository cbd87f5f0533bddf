#pragma once

#include <peridotward/base/random.hpp>
#include <peridotward/base/time.hpp>
#include <peridotward/config/bundle.hpp>
#include <peridotward/core/budgets/voter_set_change.hpp>
#include <peridotward/core/budgets/voter_table.hpp>
#include <peridotward/core/membership/fleet_timing.hpp>
#include <peridotward/core/membership/membership.hpp>
#include <peridotward/core/membership/peer_message.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotward {

/// \brief State of one lease at this instance.
enum class lease_phase : std::uint8_t
{
    idle,     ///< Another voter is preferred, or this one cannot hold.
    asking,   ///< Requests the lease and has no majority yet.
    holding,  ///< May use the upstream until the lease ends.
    yielding, ///< Starts no requests; releases the lease when none is left.
};

template<>
struct name_table<lease_phase>
{
    static constexpr std::array entries{
        std::pair{lease_phase::idle, std::string_view{"idle"}},
        std::pair{lease_phase::asking, std::string_view{"asking"}},
        std::pair{lease_phase::holding, std::string_view{"holding"}},
        std::pair{lease_phase::yielding, std::string_view{"yielding"}},
    };
};

/// \brief One lease from the view of this instance, for the state dump.
struct lease_view
{
    upstream_index upstream;
    lease_phase phase = lease_phase::idle;
    time_point valid_until;      ///< End of this instance's own lease.
    std::string_view granted_to; ///< Holder that has the vote, or empty.
    time_point granted_until;
    std::uint32_t rank = 0; ///< Rank of this instance among the voters.
};

/// \brief Votes on and holds the leases on upstreams, on behalf of one
/// instance.
///
/// \remarks Sans-IO. A lease needs grants from a majority of the upstream's
/// voters. A voter keeps its grant for a full term from receipt of the request;
/// a holder counts the term from the time it sent the request, less a margin,
/// so its lease ends first whatever the network delay. A voter grants nothing
/// for one term after a start or a pause, so it need not store its votes.
/// Source: Gray, Cheriton, "Leases: an efficient fault-tolerant mechanism",
/// 1989.
class lease_controller
{
public:
    /// \param own_id Id of this instance.
    /// \param incarnation Incarnation of this process.
    /// \param now Start time; no vote is granted for one term after it.
    lease_controller(
        std::string own_id,
        incarnation_number incarnation,
        time_point now,
        std::uint64_t seed,
        fleet_timing timing = {});

    /// \brief Switches to a newer bundle. This instance does not vote for one
    /// term on an upstream whose voters changed.
    void on_bundle(bundle_ptr in_force, time_point now);

    /// \brief Updates which instances serve; returns early unless `revision()`
    /// changed.
    void on_members(const membership& members, time_point now);

    void on_message(
        std::string_view from,
        const lease_request& message,
        time_point now,
        std::vector<outgoing_message>& out);
    void on_message(
        std::string_view from,
        const lease_reply& message,
        time_point now,
        std::vector<outgoing_message>& out);

    /// \brief Requests, renews and releases the leases that are due.
    /// \param busy Requests in flight under each lease, by upstream; see
    /// `upstream_budgets::busy`.
    void on_timeout(
        time_point now,
        std::span<const std::uint32_t> busy,
        std::vector<outgoing_message>& out);

    /// \returns The time at which `on_timeout` must be called next.
    [[nodiscard]] time_point next_wakeup() const noexcept;

    /// \brief Starts the graceful shutdown: acquires no more leases and
    /// releases each lease once no request is in flight under it.
    void release_all(time_point now, std::vector<outgoing_message>& out);

    /// \returns Whether all leases are released.
    [[nodiscard]] bool released() const noexcept;

    /// \returns Whether new requests may be sent to `upstream` at `now`.
    [[nodiscard]] bool
    holds(upstream_index upstream, time_point now) const noexcept;

    /// \returns The end of this instance's lease on `upstream`, less the
    /// margin; requests must end by then. A time in the past without a lease.
    [[nodiscard]] time_point
    valid_until(upstream_index upstream) const noexcept;

    /// \returns The start of the current uninterrupted hold on `upstream`.
    [[nodiscard]] time_point held_since(upstream_index upstream) const noexcept;

    /// \returns The id of the instance that most likely holds `upstream`; empty
    /// when none of its voters serves. May be this instance.
    [[nodiscard]] std::string_view
    likely_owner(upstream_index upstream, time_point now) const noexcept;

    /// \brief Records the answer of `instance_id` that it does not hold
    /// `upstream`; `likely_owner` skips that instance for one retry interval.
    void on_not_owner(
        upstream_index upstream, std::string_view instance_id, time_point now);

    /// \returns The upstreams that this instance votes on; it can hold no
    /// other.
    [[nodiscard]] const std::vector<upstream_index>&
    voted_upstreams() const noexcept
    {
        return voted_upstreams_;
    }

    /// \returns The voters of all upstreams.
    [[nodiscard]] const voter_table& voters() const noexcept { return voters_; }

    /// \returns The current bundle, or null.
    [[nodiscard]] const bundle_ptr& in_force() const noexcept
    {
        return in_force_;
    }

    /// \returns The leases that this instance votes on.
    [[nodiscard]] std::vector<lease_view> view() const;

    /// \returns The number of leases held at `now`.
    [[nodiscard]] std::size_t held_count(time_point now) const noexcept;

private:
    /// Vote that this instance granted to a holder.
    struct vote
    {
        std::string holder;
        incarnation_number incarnation = 0;
        time_point until;
        time_point earliest_grant; ///< No new grant before this time.
    };
    struct lease
    {
        upstream_index upstream;
        std::uint8_t rank = 0;
        lease_phase phase = lease_phase::idle;
        bool requested = false;     ///< Since the last release.
        bool held_by_other = false; ///< As reported in this round.
        std::array<time_point, max_voters> grant_ends{}; ///< By voter rank.
        std::uint64_t first_valid_round = 0; ///< Older grants were released.
        time_point valid_until;
        time_point held_since;
        time_point next_request;
        time_point preferred_since; ///< Since when a better rank serves.
        duration hand_back_wait{};  ///< Doubles with each hand-back.
        vote own_vote;
        std::vector<voter_set_change> voter_changes; ///< Not settled yet.
    };
    struct sent_round
    {
        std::uint64_t number = 0;
        time_point sent;
    };
    struct peer_round
    {
        incarnation_number incarnation = 0;
        std::uint64_t number = 0;
    };
    struct batch
    {
        std::vector<resource_id> wanted;
        std::vector<resource_id> released;
    };
    struct refusal
    {
        std::uint8_t ranks = 0; ///< Bit mask by rank.
        time_point until;
    };
    using batch_map = std::map<std::string_view, batch>; // by instance id

    void detect_pause(time_point now);
    [[nodiscard]] lease* find(upstream_index upstream) noexcept;
    [[nodiscard]] const lease* find(upstream_index upstream) const noexcept;
    [[nodiscard]] std::string_view
    id_of(instance_index instance) const noexcept;
    [[nodiscard]] bool serves(instance_index instance) const noexcept;

    // Bundle changes.
    [[nodiscard]] lease carry_over(
        const bundle& newer,
        const voter_set& voters,
        resource_id resource,
        const lease& initial,
        time_point now) const;
    [[nodiscard]] std::vector<bool> carry_serving(const bundle& newer) const;
    void on_peer_version(
        std::string_view instance_id, bundle_version version, time_point now);
    static void drop_settled_changes(lease& changed, time_point now);
    void poll_unconfirmed_voters(time_point now, batch_map& batches);

    // Voter role.
    [[nodiscard]] bool
    accept_round(std::string_view from, const lease_request& message);
    [[nodiscard]] bool try_grant(
        lease& target,
        std::string_view to,
        incarnation_number incarnation,
        bool renewal_only,
        time_point now) const;
    void revoke_vote(
        lease& target,
        std::string_view from,
        incarnation_number incarnation,
        time_point now);

    // Holder role.
    void record_grant(
        lease& target, std::size_t rank, time_point sent, time_point now);
    [[nodiscard]] bool
    counts_toward_majority(const lease& target, std::string_view voter) const;
    [[nodiscard]] bool
    preferred_voter_serves(const lease& target) const noexcept;
    [[nodiscard]] bool
    vacancy_wait_over(const lease& target, time_point now) const;
    [[nodiscard]] bool
    should_request(const lease& target, time_point now) const;
    void update_hand_back(lease& target, time_point now);
    void step(lease& target, bool busy, time_point now, batch_map& batches);
    void step_asking(lease& target, time_point now, batch_map& batches);
    void step_holding(lease& target, time_point now, batch_map& batches);
    void
    step_yielding(lease& target, bool busy, time_point now, batch_map& batches);
    void request(lease& target, time_point now, batch_map& batches);
    void release(lease& target, time_point now, batch_map& batches);
    void flush(
        batch_map& batches, time_point now, std::vector<outgoing_message>& out);

    std::string own_id_;
    incarnation_number incarnation_;
    fleet_timing timing_;
    random_source random_;
    bundle_ptr in_force_;
    instance_index own_index_;
    voter_table voters_;
    std::vector<lease> leases_; ///< Those this instance votes on, by upstream.
    std::vector<upstream_index> voted_upstreams_;
    std::vector<bool> serving_;                           ///< By instance.
    std::unordered_map<std::uint32_t, refusal> refusals_; ///< By upstream.
    std::map<std::string, peer_round, std::less<>> peer_rounds_;
    std::deque<sent_round> rounds_;
    std::uint64_t round_ = 0;
    std::uint64_t members_revision_ = 0;
    time_point votes_from_; ///< No vote before: start or pause.
    time_point last_call_;
    time_point next_renewal_;
    time_point next_poll_;
    time_point next_wakeup_;
    bool members_known_ = false;
    bool leaving_ = false;
};

} // namespace peridotward
