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

/// \brief The state of another instance as this instance knows it.
struct member
{
    member_update latest_update;
    config_summary config; ///< From the latest message of the member.
    /// Whether the member's current incarnation has sent a message to this
    /// instance.
    bool message_received = false;
    time_point changed; ///< Time of the last change of `latest_update`.
    /// Number of messages that still have to carry `latest_update`.
    std::uint32_t remaining_transmissions = 0;
    bool self_update_sent = false; ///< Whether an own update was sent to it.
    /// Whether an own probe caused the suspicion, rather than gossip alone.
    bool suspected_locally = false;
};

/// \brief Tracks which instances are alive by probes and gossip.
///
/// \remarks Sans-IO. Each instance probes one member per interval, asks other
/// members to probe one that does not answer, and piggybacks member updates on
/// these messages, so that the traffic of an instance does not grow with the
/// fleet. Source: Das, Gupta, Motivala, "SWIM: scalable weakly-consistent
/// infection-style process group membership protocol", 2002.
class membership
{
public:
    using member_map = std::map<std::string, member, std::less<>>;

    /// \param self Id, incarnation, domain and endpoints of this instance.
    /// \param seed Seed of the random choice of members to probe.
    membership(
        member_update self, std::uint64_t seed, fleet_timing timing = {});

    /// \brief Adds the instances of the published list that are not known yet
    /// and not leaving, and updates the addresses of members that have sent no
    /// message. Members that the list lacks stay.
    void on_list(const instance_list& list, time_point now);

    /// \brief Removes the members that `in_force` does not configure.
    void on_configured_instances(const bundle& in_force);

    /// \brief Handles a message from the member `from` and appends the answer
    /// or the messages that follow from it to `out`.
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

    /// \brief Sends due probes and expires probes and suspicions.
    void on_timeout(time_point now, std::vector<outgoing_message>& out);

    /// \returns When `on_timeout` is to be called next.
    [[nodiscard]] time_point next_wakeup() const noexcept;

    /// \brief Sets the configuration summary that own probes carry.
    void set_config(config_summary in_force);

    /// \brief Sets whether this instance serves callers.
    void set_ready(bool ready, time_point now);

    /// \brief Sets the load that this instance reports.
    void set_load(member_load load);

    /// \brief Marks this instance as leaving and probes some members at once
    /// to report that.
    void leave(time_point now, std::vector<outgoing_message>& out);

    /// \returns All other known members, by instance id.
    [[nodiscard]] const member_map& members() const noexcept
    {
        return members_;
    }

    /// \returns The member with the id `instance_id`, or null.
    [[nodiscard]] const member*
    find(std::string_view instance_id) const noexcept;

    /// \returns The update that this instance sends about itself.
    [[nodiscard]] const member_update& self() const noexcept { return self_; }

    /// \returns Whether `instance_id`, which may be this instance, is alive,
    /// serves callers and is not leaving.
    [[nodiscard]] bool serves(std::string_view instance_id) const noexcept;

    /// \returns Whether a process with the same instance id started later; this
    /// process must stop serving then.
    [[nodiscard]] bool superseded() const noexcept { return superseded_; }

    /// \brief Raises the own incarnation above the one that superseded it.
    ///
    /// \remarks For an instance id that only one process at a time can use,
    /// such as an address: the higher incarnation then comes from a clock that
    /// was ahead.
    void reclaim_identity() noexcept;

    /// \returns The highest bundle version that any member has in force, and
    /// its digest.
    [[nodiscard]] const config_summary& highest_config() const noexcept
    {
        return highest_;
    }

    /// \returns A number that increases with each change of a member's state.
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

private:
    struct pending_probe
    {
        std::uint64_t sequence = 0;
        std::string target;
        time_point indirect_at; ///< When indirect probes are sent.
        time_point fails_at;    ///< When a missing answer counts as a failure.
        bool indirect_sent = false;
    };
    struct relayed_probe
    {
        std::uint64_t sequence = 0;          ///< Of the probe sent here.
        std::uint64_t original_sequence = 0; ///< Of the requester.
        std::string requester;
        time_point expires;
    };

    void merge_update(const member_update& update, time_point now);
    void merge_self_update(const member_update& update);
    void merge_message(
        std::string_view from,
        const config_summary& config,
        const std::vector<member_update>& updates,
        time_point now);
    void set_state(member& changed, member_state state, time_point now);
    void schedule_dissemination(member& changed);
    [[nodiscard]] std::uint32_t transmission_count() const noexcept;
    [[nodiscard]] config_summary
    config_summary_for(const member* recipient) const;
    void on_probe_failure(
        member& suspect_member,
        time_point now,
        std::vector<outgoing_message>& out);
    void probe_suspect_and_dead(std::vector<outgoing_message>& out);
    [[nodiscard]] std::vector<member_update> collect_updates(member* recipient);
    [[nodiscard]] member* next_probe_target();
    void refill_probe_order();
    void send_probe(
        member& target,
        std::uint64_t sequence,
        std::vector<outgoing_message>& out);
    void start_probe(time_point now, std::vector<outgoing_message>& out);
    void send_indirect_probes(
        const pending_probe& pending, std::vector<outgoing_message>& out);
    void check_probes(time_point now, std::vector<outgoing_message>& out);
    void expire_suspicions(time_point now, std::vector<outgoing_message>& out);
    void send_immediate_probes(std::vector<outgoing_message>& out);
    void resume_after_pause(time_point now);

    member_update self_;
    config_summary config_;
    config_summary highest_;
    fleet_timing timing_;
    random_source random_;
    member_map members_;
    std::vector<std::string> probe_order_; ///< Still to probe in this round.
    std::vector<pending_probe> pending_probes_;
    std::vector<relayed_probe> relayed_;
    /// Members whose latest update still has to be sent.
    std::vector<std::string> to_disseminate_;
    std::vector<std::string> not_alive_; ///< Members that are not alive.
    time_point next_probe_;
    time_point last_call_;
    std::uint64_t sequence_ = 0;
    std::uint64_t revision_ = 0;
    std::uint32_t remaining_self_transmissions_ = 0;
    bool superseded_ = false;
    incarnation_number superseded_by_ = 0;
};

} // namespace peridotward
