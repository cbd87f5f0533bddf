#pragma once

#include "instance_state.hpp"

#include <peridotward/core/budgets/lease_controller.hpp>
#include <peridotward/core/budgets/upstream_budgets.hpp>
#include <peridotward/core/membership/membership.hpp>
#include <peridotward/wire/peer_link.hpp>

#include <array>
#include <functional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace peridotward {

/// The process that sent a message.
struct peer_process
{
    std::string instance_id;
    incarnation_number incarnation = 0;
};

/// Drives the controllers of membership, leases and budgets: passes them
/// messages and timer ticks, and sends the messages they produce over the peer
/// link. All functions must be called on the loop's thread.
class fleet_runner
{
public:
    using ticket_handler = std::function<void(
        const std::string& instance_id, delivery_ticket ticket)>;
    using instance_handler =
        std::function<void(const std::string& instance_id)>;
    using summary_handler = std::function<void(
        const std::string& instance_id, const config_summary& summary)>;
    using time_handler = std::function<void(time_point now)>;

    explicit fleet_runner(instance_state& state);

    /// Binds the listener for peers.
    ///
    /// \returns `io_failed` when the address cannot be bound, or an error when
    /// the key file is unreadable or empty.
    [[nodiscard]] result<void> start();
    void stop() { link_.stop(); }

    /// Starts the periodic timer. Must be called once, before the loop runs.
    void start_timer() { tick(); }

    /// Passes a new bundle or instance list to the controllers, if there is
    /// one. Must be called before the controllers are queried.
    void apply_state_changes();

    /// Sends a message. If it has a ticket and cannot be sent, the handlers of
    /// `on_unsent` are called with the ticket.
    void send(
        const std::string& instance_id,
        const peer_message& message,
        delivery_ticket ticket = 0);
    [[nodiscard]] delivery_ticket next_ticket() { return ++last_ticket_; }

    /// Sets the handler for messages of one type.
    template<class Message>
    void on(std::function<void(const peer_process&, Message)> handler)
    {
        const auto position = peer_message{Message{}}.index();
        handlers_[position] = [handler = std::move(handler)](
                                  const peer_process& from,
                                  peer_message&& message) {
            handler(from, std::get<Message>(std::move(message)));
        };
    }
    void on_unsent(ticket_handler handler)
    {
        unsent_handlers_.push_back(std::move(handler));
    }
    void on_connection_lost(instance_handler handler)
    {
        lost_handlers_.push_back(std::move(handler));
    }
    void on_tick(time_handler handler)
    {
        tick_handlers_.push_back(std::move(handler));
    }
    void on_bundle(time_handler handler)
    {
        bundle_handlers_.push_back(std::move(handler));
    }

    /// Sets the handler for the configuration summaries of other members.
    void on_summary(summary_handler handler)
    {
        summary_handler_ = std::move(handler);
    }
    /// Sets the handler that is called at the start and after each change of
    /// the members.
    void on_members(std::function<void()> handler)
    {
        members_handler_ = std::move(handler);
    }
    /// Sets the source of the configuration summary that own probes carry.
    void set_summary_source(std::function<config_summary()> source)
    {
        summary_source_ = std::move(source);
    }

    /// Refuses connections with these instances, in both directions; used by
    /// tests of network partitions.
    void refuse_links(std::set<std::string> instance_ids)
    {
        link_.refuse(std::move(instance_ids));
    }

    [[nodiscard]] instance_state& state() noexcept { return *state_; }
    [[nodiscard]] const instance_state& state() const noexcept
    {
        return *state_;
    }
    [[nodiscard]] const membership& members() const noexcept
    {
        return members_;
    }
    [[nodiscard]] lease_controller& leases() noexcept { return leases_; }
    [[nodiscard]] const lease_controller& leases() const noexcept
    {
        return leases_;
    }
    [[nodiscard]] upstream_budgets& budgets() noexcept { return budgets_; }
    [[nodiscard]] const upstream_budgets& budgets() const noexcept
    {
        return budgets_;
    }
    [[nodiscard]] peer_link_counts link_counts() const
    {
        return link_.counts();
    }
    [[nodiscard]] incarnation_number incarnation() const noexcept
    {
        return incarnation_;
    }

private:
    using message_handler =
        std::function<void(const peer_process&, peer_message&&)>;

    [[nodiscard]] peer_link_options link_options() const;
    [[nodiscard]] peer_link_events link_events();
    template<class Message>
    void on_probe_message(const peer_process& from, const Message& message);
    void dispatch(const peer_process& from, peer_message message);
    void tick();
    void apply_member_changes();
    void announce_leave(time_point now);
    void send_all();

    instance_state* state_;
    incarnation_number incarnation_;
    membership members_;
    lease_controller leases_;
    upstream_budgets budgets_;
    std::array<message_handler, std::variant_size_v<peer_message>> handlers_;
    std::vector<ticket_handler> unsent_handlers_;
    std::vector<instance_handler> lost_handlers_;
    std::vector<time_handler> tick_handlers_;
    std::vector<time_handler> bundle_handlers_;
    summary_handler summary_handler_;
    std::function<void()> members_handler_;
    std::function<config_summary()> summary_source_;
    std::vector<outgoing_message> outgoing_;
    bundle_ptr bundle_;
    std::uint64_t list_version_ = 0;
    std::uint64_t members_revision_ = 0;
    delivery_ticket last_ticket_ = 0;
    bool leave_announced_ = false;
    bool members_applied_ = false;
    peer_link link_; ///< Declared last: its thread uses the other members.
};

} // namespace peridotward
