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

/// The process that a message came from.
struct peer_process
{
    std::string seat;
    incarnation_number incarnation = 0;
};

/// Carries messages and time to the controllers of the fleet, and what they
/// decide back to the peers' link. Belongs to the loop's thread.
class fleet_runner
{
public:
    using ticket_handler =
        std::function<void(const std::string& seat, delivery_ticket ticket)>;
    using seat_handler = std::function<void(const std::string& seat)>;
    using summary_handler = std::function<void(
        const std::string& seat, const config_summary& theirs)>;
    using time_handler = std::function<void(time_point now)>;

    explicit fleet_runner(instance_state& state);

    /// Binds the peers' listener. `io_failed` when it cannot.
    [[nodiscard]] result<void> start();
    void stop() { link_.stop(); }

    /// Starts the timer; to be called once, before the loop runs.
    void begin() { tick(); }

    /// Takes a new bundle or list of the node into the controllers; cheap when
    /// nothing changed. To be called before they are asked.
    void follow_state();

    /// Sends a message; with a ticket, `on_unsent` may report it.
    void send(
        const std::string& seat,
        const peer_message& message,
        delivery_ticket ticket = 0);
    [[nodiscard]] delivery_ticket next_ticket() { return ++last_ticket_; }

    /// Sets who takes messages of one type.
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
        unsent_.push_back(std::move(handler));
    }
    void on_lost(seat_handler handler) { lost_.push_back(std::move(handler)); }
    void on_tick(time_handler handler) { ticks_.push_back(std::move(handler)); }
    void on_bundle(time_handler handler)
    {
        bundles_.push_back(std::move(handler));
    }

    /// Sets who hears what members have in force.
    void on_summary(summary_handler handler) { heard_ = std::move(handler); }
    /// Sets who is called at the start and when a member changed.
    void on_members(std::function<void()> handler)
    {
        changed_ = std::move(handler);
    }
    /// Sets what own probes say of the configuration.
    void use_summary(std::function<config_summary()> source)
    {
        summary_ = std::move(source);
    }

    /// Refuses connections with these seats; for tests of cut links.
    void refuse(std::set<std::string> seats) { link_.refuse(std::move(seats)); }

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
    void hear_probe(const peer_process& from, const Message& message);
    void take(const peer_process& from, peer_message message);
    void tick();
    void follow_members();
    void follow_leaving(time_point now);
    void send_all();

    instance_state* state_;
    incarnation_number incarnation_;
    membership members_;
    lease_controller leases_;
    upstream_budgets budgets_;
    std::array<message_handler, std::variant_size_v<peer_message>> handlers_;
    std::vector<ticket_handler> unsent_;
    std::vector<seat_handler> lost_;
    std::vector<time_handler> ticks_;
    std::vector<time_handler> bundles_;
    summary_handler heard_;
    std::function<void()> changed_;
    std::function<config_summary()> summary_;
    std::vector<outgoing> out_;
    bundle_ptr followed_;
    std::uint64_t followed_list_ = 0;
    std::uint64_t members_revision_ = 0;
    delivery_ticket last_ticket_ = 0;
    bool told_leaving_ = false;
    bool started_ = false;
    peer_link link_; ///< Last: its thread posts to this object.
};

} // namespace peridotward
