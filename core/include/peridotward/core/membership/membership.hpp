#pragma once

#include <peridotward/base/random.hpp>
#include <peridotward/base/time.hpp>
#include <peridotward/config/bundle.hpp>
#include <peridotward/config/instance_list.hpp>
#include <peridotward/core/membership/fleet_timing.hpp>
#include <peridotward/core/membership/peer_message.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief One instance as another one sees it.
struct member
{
    member_update latest_update;
    config_summary config; ///< As last heard from the member itself.
    bool heard = false;    ///< Whether it answered in its incarnation.
    time_point changed;    ///< When `latest_update` changed last.
    std::uint32_t spreads_left =
        0;                       ///< Messages that still carry `latest_update`.
    bool introduced = false;     ///< Whether it was told of this instance.
    bool suspected_here = false; ///< By own probes, not by hearsay.
};

/// \brief Which instances are alive, told by probes and gossip.
///
/// \remarks Sans-IO. Each instance probes one member per interval, asks
/// others to probe a silent one, and spreads beliefs on those messages; so
/// traffic per instance does not grow with the fleet. Source: Das, Gupta,
/// Motivala, "SWIM: scalable weakly-consistent infection-style process group
/// membership protocol", 2002.
class membership
{
public:
    using member_map = std::map<std::string, member, std::less<>>;

    /// \param self Own seat, incarnation, domain and endpoints.
    /// \param seed Of the choices of whom to probe.
    membership(
        member_update self, std::uint64_t seed, fleet_timing timing = {});

    /// \brief Takes in the published list: adds members that are not known
    /// yet, and notes which are leaving. A member missing there stays.
    void on_list(const instance_list& list, time_point now);

    /// \brief Takes in the seats; a member without a seat is forgotten.
    void on_configured_instances(const bundle& in_force);

    void on_message(
        std::string_view from,
        const probe& message,
        time_point now,
        std::vector<outgoing_message>& out);
    void on_message(
        std::string_view from,
        const probe_ack& message,
        time_point now,
        std::vector<outgoing_message>& out);
    void on_message(
        std::string_view from,
        const probe_request& message,
        time_point now,
        std::vector<outgoing_message>& out);

    /// \brief Probes, suspects and forgets what is due.
    void on_timeout(time_point now, std::vector<outgoing_message>& out);

    /// \returns When `on_timeout` has work next.
    [[nodiscard]] time_point next_wakeup() const noexcept;

    /// \brief Sets what rides on own probes.
    void set_config(config_summary in_force);

    /// \brief Says whether this instance serves callers.
    void set_ready(bool ready, time_point now);

    /// \brief Says how busy this instance is.
    void set_load(member_load load);

    /// \brief Tells some members at once that this instance is leaving.
    void leave(time_point now, std::vector<outgoing_message>& out);

    /// \returns All other members that are known, by seat.
    [[nodiscard]] const member_map& members() const noexcept
    {
        return members_;
    }

    /// \returns The member that fills `instance_id`, or null.
    [[nodiscard]] const member*
    find(std::string_view instance_id) const noexcept;

    /// \returns What this instance says of itself.
    [[nodiscard]] const member_update& self() const noexcept { return self_; }

    /// \returns Whether `instance_id` is alive, serves and is not leaving; also
    /// for the own seat.
    [[nodiscard]] bool serves(std::string_view instance_id) const noexcept;

    /// \returns Whether a later start fills the own seat; this process must
    /// stop serving then.
    [[nodiscard]] bool superseded() const noexcept { return superseded_; }

    /// \brief Takes the seat back from the later start that was heard of.
    ///
    /// \remarks For a seat that only one process at a time can fill, such as
    /// an address: the later number then comes from a clock that was ahead.
    void reclaim_identity() noexcept;

    /// \returns The highest bundle version that any member has in force, and
    /// its digest.
    [[nodiscard]] const config_summary& highest_config() const noexcept
    {
        return highest_;
    }

    /// \returns A number that grows with each change of a member's state.
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

private:
    struct open_probe
    {
        std::uint64_t sequence = 0;
        std::string target;
        time_point indirect_at; ///< When others are asked.
        time_point fails_at;
        bool asked_others = false;
    };
    struct relayed_probe
    {
        std::uint64_t sequence = 0; ///< Own.
        std::uint64_t original = 0; ///< The asker's.
        std::string asker;
        time_point expires;
    };

    void merge(const member_update& heard, time_point now);
    void merge_own(const member_update& heard);
    void merge_config(std::string_view from, const config_summary& config);
    void merge_all(
        std::string_view from,
        const config_summary& config,
        const std::vector<member_update>& updates,
        time_point now);
    void set_state(member& changed, member_state state, time_point now);
    void schedule_spread(member& changed);
    [[nodiscard]] std::uint32_t spread_count() const noexcept;
    [[nodiscard]] config_summary config_for(const member* recipient) const;
    void
    fail(member& silent, time_point now, std::vector<outgoing_message>& out);
    void probe_extra(std::vector<outgoing_message>& out);
    [[nodiscard]] std::vector<member_update> take_updates(member* recipient);
    [[nodiscard]] member* next_target();
    void refill_order();
    void send_probe(
        member& target,
        std::uint64_t sequence,
        std::vector<outgoing_message>& out);
    void start_probe(time_point now, std::vector<outgoing_message>& out);
    void ask_others(const open_probe& open, std::vector<outgoing_message>& out);
    void check_probes(time_point now, std::vector<outgoing_message>& out);
    void check_states(time_point now, std::vector<outgoing_message>& out);
    void tell_some(std::vector<outgoing_message>& out);
    void resume_after_pause(time_point now);

    member_update self_;
    config_summary config_;
    config_summary highest_;
    fleet_timing timing_;
    random_source random_;
    member_map members_;
    std::vector<std::string> order_; ///< Left to probe in this round.
    std::vector<open_probe> open_;
    std::vector<relayed_probe> relayed_;
    std::vector<std::string> fresh_; ///< Members whose news still spreads.
    std::vector<std::string> timed_; ///< Members that are not alive.
    time_point next_probe_;
    time_point last_call_;
    std::uint64_t sequence_ = 0;
    std::uint64_t revision_ = 0;
    std::uint32_t self_spreads_left_ = 0;
    bool superseded_ = false;
    incarnation_number superseded_by_ = 0;
};

} // namespace peridotward
