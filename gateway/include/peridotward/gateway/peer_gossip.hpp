#pragma once

#include <peridotward/core/membership/instance_selector.hpp>
#include <peridotward/core/membership/membership.hpp>
#include <peridotward/gateway/event_log.hpp>
#include <peridotward/gateway/gateway_settings.hpp>
#include <peridotward/gateway/reactor.hpp>
#include <peridotward/gateway/socket.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace peridotward {

/// \brief Finds out which instances are alive: runs `membership` over UDP with
/// messages encoded as CBOR.
///
/// \remarks The id of an instance is its gossip address, so that seeds need no
/// separate id. Datagrams that can't be decoded are dropped and counted.
/// Membership only decides which instances the directory lists and how budgets
/// are divided between instances.
class peer_gossip final : public io_handler
{
public:
    peer_gossip(
        reactor& loop,
        event_log& log,
        const gateway_settings& settings,
        std::uint64_t seed,
        incarnation_number incarnation);
    ~peer_gossip();

    /// \brief Binds the gossip address and contacts the seeds; `io_failed` if
    /// the address can't be bound.
    [[nodiscard]] result<void> start();

    /// \brief Announces whether this instance serves callers.
    void set_ready(bool ready);

    /// \brief Announces that this instance shuts down.
    void leave();

    /// \brief Applies the seeds of the changed settings.
    void apply_seeds();

    /// \brief Announces the configuration version that this instance has in
    /// force.
    void set_config_version(std::uint64_t version);

    /// \brief Announces the load of this instance.
    void set_load(member_load load);

    /// \brief Sends messages to other instances, without confirmation.
    void send(std::vector<outgoing_message> messages);

    /// \returns All instances that serve callers, including this one.
    [[nodiscard]] std::vector<instance_candidate> serving() const;

    /// \returns The other instances that shut down and still answer requests.
    /// Their load is `full`, so that others are preferred.
    [[nodiscard]] std::vector<instance_candidate> leaving() const;

    /// \returns The ids of the other instances that aren't known to be dead.
    [[nodiscard]] std::vector<std::string> running() const;

    [[nodiscard]] const membership& members() const noexcept
    {
        return members_;
    }

    /// \returns The number of datagrams that were dropped as invalid.
    [[nodiscard]] std::uint64_t bad_frames() const noexcept
    {
        return bad_frames_;
    }

    /// Called with each message that isn't about membership.
    std::function<void(std::string_view from, const peer_message&)> on_message;

    /// Called after each membership change.
    std::function<void()> on_change;

private:
    void on_events(std::uint32_t events) override;
    void on_timeout();
    void send_messages();
    void report_changes();

    reactor* loop_;
    event_log* log_;
    const gateway_settings* settings_;
    membership members_;
    unique_socket socket_;
    reactor_timer timer_;
    std::vector<outgoing_message> outgoing_messages_;
    std::uint64_t reported_revision_ = 0;
    std::uint64_t bad_frames_ = 0;
};

} // namespace peridotward
