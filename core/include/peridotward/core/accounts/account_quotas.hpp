#pragma once

#include <peridotward/base/random.hpp>
#include <peridotward/core/accounts/account_directory.hpp>
#include <peridotward/core/accounts/credit_bucket.hpp>
#include <peridotward/core/accounts/quota_bounds.hpp>
#include <peridotward/core/accounts/quota_decision.hpp>
#include <peridotward/core/accounts/quota_fleet.hpp>
#include <peridotward/core/membership/peer_message.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotward {

/// \brief Keeps the requests of each account, over all instances together,
/// within its quota.
///
/// \remarks A few instances, the granters of an account, hold equal parts of
/// its token bucket. A granter admits its own callers' requests from its part;
/// another instance asks the granters for credits. Credits that aren't used
/// soon expire and are returned. Sans-IO: the owner carries the messages, which
/// may be lost, late or doubled.
class account_quotas
{
public:
    /// Share of both tolerances by which the buckets' rate exceeds the quota's,
    /// and by which their depth exceeds the burst. The rest covers instances
    /// that disagree about the granters.
    static constexpr double rate_tolerance = 0.4;
    static constexpr double depth_tolerance = 0.4;
    /// Time within which an instance must use a credit of a granter.
    static constexpr milliseconds credit_term{300};
    /// Longest wait of a request for a credit. A round trip between failure
    /// domains takes up to 3 ms, and some more on a busy instance.
    static constexpr milliseconds max_wait{40};
    /// Time after which granters that don't answer are passed over.
    static constexpr milliseconds answer_time{12};
    /// Messages in a row without an answer after which a granter is taken to be
    /// silent: a single datagram may be lost.
    static constexpr std::uint32_t max_misses = 2;
    /// Time for which a silent granter is not waited for.
    static constexpr milliseconds silence_time{1000};
    /// Time between rounds of requests that bring no credits.
    static constexpr milliseconds min_interval{50};
    static constexpr milliseconds max_interval{400};
    /// Time after a start in which granters may not agree yet, and the part of
    /// its rate that a granter grants in it, and of its depth that it starts
    /// with.
    static constexpr milliseconds join_time{1000};
    static constexpr double join_part = 0.5;
    /// Least credits of each account that a granter has at its start: after a
    /// restart of all instances, the usual requests of a small account come
    /// sooner than its buckets fill.
    static constexpr double initial_credits = 1;
    /// Time between polls after which this process was paused, and others may
    /// have granted in its place.
    static constexpr milliseconds pause_limit{1000};
    /// Longest retry time given to a caller.
    static constexpr seconds max_retry_time{5};
    /// Requests of one account that wait at the same time.
    static constexpr std::uint32_t max_waiting = 256;

    /// \param started Start of this process.
    account_quotas(random_source& random, time_point started);

    void bounds(const quota_bounds& bounds) noexcept { bounds_ = bounds; }

    /// \brief Adopts the quotas of a new configuration.
    void apply(const account_directory& accounts, time_point now);

    /// \brief Charges one request of a caller to its account.
    /// \param waited_since If the request waited: when it first tried. A
    /// request that ceases to wait calls `end_wait` before.
    [[nodiscard]] quota_decision try_acquire(
        std::string_view account,
        std::optional<time_point> waited_since,
        const fleet_view& fleet,
        time_point now,
        std::vector<outgoing_message>& out);

    /// \brief A request for which `try_acquire` returned `waiting` tries again
    /// or has been given up.
    void end_wait(std::string_view account);

    /// \brief Gives back the credit of a request that was admitted at
    /// `acquired_at` and has not run.
    void
    refund(std::string_view account, time_point acquired_at, time_point now);

    /// \brief Returns unused credits; called periodically.
    void poll(
        const fleet_view& fleet,
        time_point now,
        std::vector<outgoing_message>& out);

    void on_message(
        std::string_view from,
        const credit_request& message,
        const fleet_view& fleet,
        time_point now,
        std::vector<outgoing_message>& out);

    /// \returns Whether requests of the account that wait should try again.
    bool on_message(
        std::string_view from, const credit_grant& message, time_point now);

    /// \brief Use of one account at this instance, for operators.
    struct account_use
    {
        account_quota quota;
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
        std::uint64_t refunded = 0;
        std::uint64_t waited = 0; ///< Asked other instances.
        double credits = 0;       ///< Held now, to be used at this instance.
        bool granter = false;     ///< Whether this instance grants credits.
    };
    void visit(const std::function<
               void(const std::string& account, const account_use& use)>&
                   visitor) const;

    /// \returns The part of each quota that the visible instances grant.
    [[nodiscard]] double part(time_point now) { return fleet_.part(now); }

private:
    /// Credits that a granter has granted to this instance.
    struct credit_lot
    {
        std::string granter; ///< Empty: refunded ones.
        double credits = 0;
        time_point granted_at; ///< Or earlier.
        time_point expires;
    };
    /// What this instance knows of another granter of an account.
    struct granter_state
    {
        std::string name;
        std::uint64_t sequence = 0; ///< Of the open request, or 0.
        time_point asked_at;
        std::uint32_t misses = 0; ///< Messages in a row without an answer.
        time_point silent_until;
        double level = 0; ///< Credits that it had when it last answered.
        time_point level_at;
    };
    struct account_state
    {
        account_quota quota;
        std::optional<time_point> removed_at; ///< From the configuration.
        std::optional<credit_bucket> bucket;  ///< If this is a granter.
        std::vector<granter_state> granters;  ///< The others.
        std::uint32_t granter_count = 1;      ///< With this one.
        std::uint64_t fleet_revision = 0;
        double part = 0; ///< `quota_fleet::part` in the bucket's limits.
        std::vector<credit_lot> lots;
        bool fresh = false; ///< New in the configuration of a running fleet.

        bool round_open = false;
        time_point round_ends;
        double round_wanted = 0;
        double round_granted = 0;
        time_point next_round; ///< After a round without success.
        duration interval = min_interval;
        std::uint32_t waiting = 0; ///< Requests that wait for this round.

        double demand = 0; ///< Requests per second, admitted or not.
        time_point demand_at;
        time_point next_retry; ///< The next retry time to assign.
        account_use use;
    };

    /// \brief Adopts a new view of the fleet and detects pauses.
    void observe(const fleet_view& fleet, time_point now);
    /// \brief Brings the granters and the bucket of an account up to date.
    void
    refresh(const std::string& name, account_state& account, time_point now);
    [[nodiscard]] double rate_of(const account_quota& quota) const noexcept;
    [[nodiscard]] double depth_of(const account_quota& quota) const noexcept;
    [[nodiscard]] duration term() const noexcept;
    [[nodiscard]] static double
    available(const account_state& account, time_point now) noexcept;
    /// \brief Takes one credit from the lots and the bucket.
    static void spend(account_state& account, time_point now);
    /// \brief Asks granters for `wanted` credits unless it has just done so.
    void
    ask(const std::string& name,
        account_state& account,
        double wanted,
        time_point now,
        std::vector<outgoing_message>& out);
    void end_round(account_state& account, time_point now);
    [[nodiscard]] quota_decision refuse(account_state& account, time_point now);
    void return_expired(
        const std::string& name,
        account_state& account,
        time_point now,
        std::vector<outgoing_message>& out);
    static void record_demand(account_state& account, time_point now) noexcept;

    random_source* random_;
    quota_bounds bounds_;
    quota_fleet fleet_;
    std::uint64_t fleet_revision_ = 0;
    time_point started_;
    time_point last_seen_at_; ///< Of the last call.
    bool configured_ = false;
    std::map<std::string, account_state, std::less<>> accounts_;
    std::uint64_t last_sequence_;
    /// By sender: the last request that returned credits, as a message may be
    /// doubled.
    std::unordered_map<std::string, std::uint64_t> last_return_;
};

} // namespace peridotward
