#pragma once

#include <peridotward/base/random.hpp>
#include <peridotward/base/time.hpp>
#include <peridotward/config/bundle.hpp>
#include <peridotward/core/budgets/electorate.hpp>
#include <peridotward/core/budgets/electorate_change.hpp>
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

/// \brief What this instance does about one lease.
enum class lease_phase : std::uint8_t
{
    idle,     ///< Another voter ranks before this one, or it cannot hold.
    asking,   ///< Wants the lease and has no majority.
    holding,  ///< May use the upstream until the lease ends.
    yielding, ///< Takes no new work; gives the lease up when it is unused.
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

/// \brief One lease as this instance sees it, for the state dump.
struct lease_view
{
    upstream_index upstream;
    lease_phase phase = lease_phase::idle;
    time_point valid_until;      ///< Of the own lease.
    std::string_view granted_to; ///< Seat with this instance's vote, or empty.
    time_point granted_until;
    std::uint32_t rank = 0; ///< Own rank among the voters.
};

/// \brief Voter and holder of the leases on upstreams, for one seat.
///
/// \remarks Sans-IO. A lease needs grants of a majority of the upstream's
/// voters. A voter keeps its grant for a whole term from receipt; a holder
/// counts the term from the time it sent the request, less a margin, so its
/// lease ends first whatever the delay. A voter that starts or was paused
/// grants nothing for one term, so it may forget. Source: Gray, Cheriton,
/// "Leases: an efficient fault-tolerant mechanism", 1989.
class lease_controller
{
public:
    /// \param instance Own seat.
    /// \param incarnation Of this process.
    /// \param now The start; votes are held back for one term from here.
    lease_controller(
        std::string instance,
        incarnation_number incarnation,
        time_point now,
        std::uint64_t seed,
        fleet_timing timing = {});

    /// \brief Takes a newer bundle into force. An upstream whose voters
    /// change gets no vote of this instance for one term.
    void on_bundle(bundle_ptr in_force, time_point now);

    /// \brief Takes in who is alive; cheap unless `revision()` moved.
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

    /// \brief Asks, renews and gives up what is due.
    /// \param busy Requests in flight under each lease, by upstream; see
    /// `upstream_budgets::busy`.
    void on_timeout(
        time_point now,
        std::span<const std::uint32_t> busy,
        std::vector<outgoing_message>& out);

    /// \returns When `on_timeout` has work next.
    [[nodiscard]] time_point next_wakeup() const noexcept;

    /// \brief Starts the graceful shutdown: takes no new work and gives each
    /// lease up once nothing is in flight under it.
    void release_all(time_point now, std::vector<outgoing_message>& out);

    /// \returns Whether no lease is left to give up.
    [[nodiscard]] bool released() const noexcept;

    /// \returns Whether new work may go to `upstream` at `now`.
    [[nodiscard]] bool
    holds(upstream_index upstream, time_point now) const noexcept;

    /// \returns The end of the own lease on `upstream`, the margin taken off;
    /// work sent must end by then. A past time without a lease.
    [[nodiscard]] time_point
    valid_until(upstream_index upstream) const noexcept;

    /// \returns When the unbroken hold on `upstream` began.
    [[nodiscard]] time_point held_since(upstream_index upstream) const noexcept;

    /// \returns The seat that most likely holds `upstream`; empty when none
    /// of its voters serves. May be the own seat.
    [[nodiscard]] std::string_view
    likely_owner(upstream_index upstream, time_point now) const noexcept;

    /// \brief Notes that `instance` said that it does not hold `upstream`;
    /// `likely_owner` passes it over for a moment.
    void on_not_owner(
        upstream_index upstream, std::string_view instance, time_point now);

    /// \returns The upstreams that this seat votes on; it can hold no other.
    [[nodiscard]] const std::vector<upstream_index>& voted() const noexcept
    {
        return voted_;
    }

    /// \returns The voters of all upstreams.
    [[nodiscard]] const electorate& voters() const noexcept { return voters_; }

    /// \returns The bundle in force, or null.
    [[nodiscard]] const bundle_ptr& in_force() const noexcept
    {
        return in_force_;
    }

    /// \returns The leases that this instance votes on.
    [[nodiscard]] std::vector<lease_view> view() const;

    /// \returns The number of leases held at `now`.
    [[nodiscard]] std::size_t held_count(time_point now) const noexcept;

private:
    /// Grants to holders on behalf of the own seat.
    struct vote
    {
        std::string holder;
        incarnation_number incarnation = 0;
        time_point until;
        time_point closed_until; ///< No grant before.
    };
    struct lease
    {
        upstream_index upstream;
        std::uint8_t rank = 0;
        lease_phase phase = lease_phase::idle;
        bool asked = false;   ///< Since the last time it was given up.
        bool refused = false; ///< Another holder was named this round.
        std::array<time_point, max_voters> granted{}; ///< Ends by rank.
        std::uint64_t first_round = 0; ///< Older grants were given up.
        time_point valid_until;
        time_point held_since;
        time_point next_request;
        time_point better_since; ///< Since when a better rank serves.
        duration hand_back_wait{};
        vote given;
        std::vector<electorate_change> changes; ///< Not settled yet.
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
        std::uint8_t ranks = 0; ///< Bit by rank.
        time_point until;
    };
    using batch_map = std::map<std::string_view, batch>; // by seat

    void notice_pause(time_point now);
    [[nodiscard]] lease* find(upstream_index upstream) noexcept;
    [[nodiscard]] const lease* find(upstream_index upstream) const noexcept;
    [[nodiscard]] std::string_view
    instance_id_of(instance_index instance) const noexcept;
    [[nodiscard]] bool serves(instance_index instance) const noexcept;

    // Changes of the bundle.
    [[nodiscard]] lease inherit(
        const bundle& newer,
        const voter_list& voters,
        resource_id resource,
        const lease& fresh,
        time_point now) const;
    [[nodiscard]] std::vector<bool> carry_serving(const bundle& newer) const;
    void hear_version(
        std::string_view instance, bundle_version version, time_point now);
    static void forget_settled(lease& changed, time_point now);
    void poll_changes(time_point now, batch_map& batches);

    // Voter.
    [[nodiscard]] bool
    accept_round(std::string_view from, const lease_request& message);
    [[nodiscard]] bool give_vote(
        lease& asked,
        std::string_view to,
        incarnation_number incarnation,
        bool renewal_only,
        time_point now) const;
    void take_back(
        lease& given,
        std::string_view from,
        incarnation_number incarnation,
        time_point now);

    // Holder.
    void
    note_grant(lease& held, std::size_t rank, time_point sent, time_point now);
    [[nodiscard]] bool counts(const lease& held, std::string_view voter) const;
    [[nodiscard]] bool better_serves(const lease& held) const noexcept;
    [[nodiscard]] bool is_vacant(const lease& held, time_point now) const;
    [[nodiscard]] bool should_ask(const lease& held, time_point now) const;
    void update_hand_back(lease& held, time_point now);
    void step(lease& held, bool busy, time_point now, batch_map& batches);
    void step_asking(lease& held, time_point now, batch_map& batches);
    void step_holding(lease& held, time_point now, batch_map& batches);
    void
    step_yielding(lease& held, bool busy, time_point now, batch_map& batches);
    void request(lease& held, time_point now, batch_map& batches);
    void give_up(lease& held, time_point now, batch_map& batches);
    void flush(
        batch_map& batches, time_point now, std::vector<outgoing_message>& out);

    std::string instance_id_;
    incarnation_number incarnation_;
    fleet_timing timing_;
    random_source random_;
    bundle_ptr in_force_;
    instance_index own_;
    electorate voters_;
    std::vector<lease> leases_; ///< Those this seat votes on, by upstream.
    std::vector<upstream_index> voted_;
    std::vector<bool> serving_;                           ///< By seat.
    std::unordered_map<std::uint32_t, refusal> refusals_; ///< By upstream.
    std::map<std::string, peer_round, std::less<>> peer_rounds_;
    std::deque<sent_round> rounds_;
    std::uint64_t round_ = 0;
    std::uint64_t members_revision_ = 0;
    time_point open_from_; ///< No vote before: start or pause.
    time_point last_call_;
    time_point next_renewal_;
    time_point next_poll_;
    time_point next_wakeup_;
    bool members_known_ = false;
    bool leaving_ = false;
};

} // namespace peridotward
