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

/// \brief Which instances are alive: `membership` over UDP, as CBOR.
///
/// \remarks A seat is named by its peers' address, so that seeds need no name.
/// Datagrams that cannot be decoded are dropped and counted. Membership only
/// steers who is named to callers and how budgets are divided; no request is
/// decided by what a peer says.
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

    [[nodiscard]] result<void> start();
    void set_ready(bool ready);
    void leave();

    /// \brief Takes over the seeds from the settings, which have changed.
    void seeds_changed();

    /// \brief Tells the others how busy this instance is.
    void set_load(member_load load);

    /// \returns All instances that serve callers, with this one.
    [[nodiscard]] std::vector<instance_candidate> serving() const;

    /// \returns The names of the other instances that may be running.
    [[nodiscard]] std::vector<std::string> running() const;

    [[nodiscard]] const membership& members() const noexcept
    {
        return members_;
    }
    [[nodiscard]] std::uint64_t bad_frames() const noexcept
    {
        return bad_frames_;
    }

    /// Called after each change of membership.
    std::function<void()> changed;

private:
    void on_events(std::uint32_t events) override;
    void on_timeout();
    void dispatch();
    void announce();

    reactor* loop_;
    event_log* log_;
    const gateway_settings* settings_;
    membership members_;
    unique_socket socket_;
    reactor_timer timer_;
    std::vector<outgoing_message> out_;
    std::uint64_t told_revision_ = 0;
    std::uint64_t bad_frames_ = 0;
};

} // namespace peridotward
