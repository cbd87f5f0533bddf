#pragma once

#include <peridotward/core/membership/peer_message.hpp>
#include <peridotward/core/placement/replica_selector.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotward {

/// \brief Moves shares of rate limits from instances that leave them to
/// instances that lack them.
///
/// \remarks Sans-IO: the owner carries the messages, which may be lost or late.
/// An instance without a share also learns here that a limit has ended.
class rate_share_exchange
{
public:
    /// Time between requests for the share of one replica; the longer, the more
    /// in a row brought nothing.
    static constexpr milliseconds min_interval{250};
    static constexpr milliseconds max_interval{4000};
    /// Instances that are asked at the same time.
    static constexpr std::uint32_t max_asked = 2;

    rate_share_exchange(
        upstream_catalog& catalog,
        replica_selector& selector,
        random_source& random)
        : catalog_{&catalog}, selector_{&selector}, random_{&random}
    {}

    /// \brief Asks for the share of at most one replica that needs it, and
    /// tells other instances of ended limits; called periodically.
    void poll(
        const fleet_view& fleet,
        time_point now,
        std::vector<outgoing_message>& out);

    void on_message(
        std::string_view from,
        const rate_share_request& message,
        const fleet_view& fleet,
        time_point now,
        std::vector<outgoing_message>& out);

    void on_message(std::string_view from, const rate_share_grant& message);

    /// Called when `from` told of a limit, or of the end of one, that this
    /// instance didn't know.
    std::function<void(replica_number, std::string_view from)> on_limit_changed;

private:
    struct open_request
    {
        std::uint64_t sequence;
        std::string to;
        time_point sent_at;
    };
    /// The requests for the share of one replica.
    struct request_state
    {
        time_point next; ///< When to ask for more requests.
        time_point next_renewal;
        duration interval = min_interval;
        std::vector<open_request> open;
    };

    /// \brief Adds random instances that have a share, up to `max_asked`.
    void add_holders(
        std::vector<std::string>& asked,
        const replica& target,
        const fleet_view& fleet);
    /// \brief Asks for requests to one replica if this instance lacks them.
    /// \returns Whether messages were sent.
    bool
    ask(const replica& target,
        rate_share& share,
        const fleet_view& fleet,
        time_point now,
        std::vector<outgoing_message>& out);

    upstream_catalog* catalog_;
    replica_selector* selector_;
    random_source* random_;
    std::unordered_map<replica_number, request_state> requests_;
    std::uint64_t last_sequence_ = 0;
};

} // namespace peridotward
