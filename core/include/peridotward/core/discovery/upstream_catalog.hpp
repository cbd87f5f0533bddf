#pragma once

#include <peridotward/core/discovery/answer_notice.hpp>
#include <peridotward/core/discovery/upstream_record.hpp>
#include <peridotward/core/placement/replica_health.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace peridotward {

/// \brief Number of a replica in the catalog; never reused.
using replica_number = std::uint32_t;

/// \brief One start of an upstream, from its first publication to its end.
struct replica
{
    replica_number number = 0;
    upstream_record published;
    replica_health health;
    time_point cold_until;
    /// When the publication disappeared; used only if no other replica serves,
    /// unless `publication_lost`.
    std::optional<time_point> unpublished_at;
    /// Whether the publication disappeared because the store came back from a
    /// copy that lacks it.
    bool publication_lost = false;
    /// When the store lost the publication that said that the replica drains;
    /// it counts as draining until `expire`.
    std::optional<time_point> drain_lost_at;
    /// Whether the upstream said in an answer that it is leaving; an upstream
    /// never returns from that within one start.
    bool leaving = false;
    /// When it last asked for a pause.
    time_point paused_at;
    /// Requests a second that the replica takes from all instances together, as
    /// its last answer said.
    std::optional<double> rate_limit;
    /// Whether its last answer named no limit after an earlier one had.
    bool rate_limit_ended = false;
    /// Whether the publication of another upstream has the better claim to the
    /// address.
    bool address_taken = false;
    /// Whether another upstream answered at the address: this one has ended, or
    /// will publish itself again.
    bool misdirected = false;

    [[nodiscard]] bool cold(time_point now) const noexcept
    {
        return now < cold_until;
    }
};

/// \brief Whether requests may be sent to a replica.
enum class replica_availability : std::uint8_t
{
    serving,
    unpublished, ///< Publication gone, possibly by a lapse of the store.
    /// Draining, leaving, without its address, or in an evacuated failure
    /// domain.
    excluded,
};

/// \brief All upstreams and exclusions in the store at one time.
struct store_listing
{
    std::vector<upstream_record> upstreams;
    std::set<std::string, std::less<>> excluded_domains;
};

/// \brief The published upstreams, by service.
///
/// \remarks A publication may lapse while the store is down; it then returns
/// within `lapse_return` after the store does. Until that time has passed the
/// replica stays usable when there is no better one.
///
/// \remarks A store that comes back from an older copy of itself lacks the
/// latest publications and exclusions; their writers publish them again within
/// the same time. Until then what was known before stays in use, afterwards the
/// listing alone counts.
class upstream_catalog
{
public:
    /// Called when another start of an upstream takes the place of one.
    std::function<void(const replica& before, const replica& after)>
        on_restarted;

    /// Publications that lapsed in an outage of the store return within 2 s;
    /// the rest is the delay of the watch. Less than the minimum drain time of
    /// 3 s.
    static constexpr milliseconds lapse_return{2300};
    /// Max age of what is known of an upstream that isn't published yet; longer
    /// than an upstream that leaves goes on serving.
    static constexpr seconds max_notice_age{60};
    /// Max number of upstreams that aren't published yet of which something is
    /// known.
    static constexpr std::size_t max_early_notices = 1000;

    /// \brief Adds a new publication or updates a known one.
    void publish(upstream_record record, time_point now);

    /// \brief Marks the publication `id` as gone.
    void withdraw(std::string_view id, time_point now);

    /// \brief Replaces all publications and exclusions; publications that are
    /// not in the listing are withdrawn.
    void replace(store_listing listing, time_point now);

    /// \brief Does the same with the listing of a store that has lost its
    /// latest changes; what these said stays in use until `expire`.
    void replace_restored(store_listing listing, time_point now);

    /// \brief Records that the upstream says in its answers that it is leaving.
    /// \returns Whether that is new.
    bool mark_leaving(replica_number number);

    /// \brief Records that all is known that was published before `time`.
    ///
    /// \remarks A pause that an upstream asked for later may be that of a start
    /// that isn't known yet, so it survives the publication of that start.
    void confirm(time_point time) noexcept
    {
        confirmed_at_ = std::max(confirmed_at_, time);
    }

    /// \brief Records what an answer says of the upstream that sent it.
    /// \returns What is new.
    notice_changes apply_notice(
        replica_number number, const answer_notice& notice, time_point now);

    /// \brief Records what an answer that another instance got says of its
    /// upstream; for `max_notice_age` if that start isn't known yet.
    /// \param start_id 0 if unknown.
    /// \returns The replica and what is new, if it is known.
    std::optional<std::pair<replica_number, notice_changes>> apply_notice_of(
        const std::string& id,
        std::uint64_t start_id,
        const answer_notice& notice,
        time_point now);

    /// \brief Records that another upstream answered at the replica's address.
    ///
    /// \remarks Each further attempt would arrive at that upstream, as an extra
    /// attempt that no budget knows of. Holds until the replica is published
    /// again. Another upstream that is published with the address has it now.
    void mark_misdirected(replica_number number);

    /// \brief Sets the services that the configuration names. Any program can
    /// publish an upstream: one of a service that nobody names takes no address
    /// from one that is used.
    void set_services(std::set<std::string, std::less<>> names);

    /// \brief Excludes or readmits all upstreams of a failure domain.
    void set_domain_excluded(std::string_view domain, bool excluded);

    /// \returns The live replica with this id.
    [[nodiscard]] std::optional<replica_number> find(std::string_view id) const;

    /// \returns The live replicas of `service`; empty for an unknown service.
    [[nodiscard]] const std::vector<replica_number>&
    of_service(std::string_view service) const;

    [[nodiscard]] replica& at(replica_number number)
    {
        return *replicas_[number];
    }
    [[nodiscard]] const replica& at(replica_number number) const
    {
        return *replicas_[number];
    }

    [[nodiscard]] replica_availability
    availability(const replica& candidate) const noexcept;

    /// \brief Removes the replicas whose publication has not returned in time,
    /// and ends lost drains that were not published again.
    ///
    /// \returns The numbers of the removed replicas.
    std::vector<replica_number> expire(time_point now);

    /// \brief Readmits the failure domains whose lost exclusion was not
    /// published again in time.
    ///
    /// \returns The readmitted domains.
    std::vector<std::string> expire_exclusions(time_point now);

    /// \returns The numbers of all replicas that were not removed.
    [[nodiscard]] std::vector<replica_number> live() const;

    /// \returns The excluded failure domains.
    [[nodiscard]] const auto& excluded_domains() const noexcept
    {
        return excluded_;
    }

private:
    /// What one start of an upstream said of itself in its answers.
    struct upstream_notice
    {
        std::string id;
        std::uint64_t start_id;
        bool leaving;
        time_point paused_until;
        time_point paused_at;
    };
    /// The same of a start that isn't published yet.
    struct early_notice
    {
        std::uint64_t start_id = 0;
        time_point at; ///< Of the last answer.
        bool leaving = false;
        time_point paused_until;
        time_point paused_at;
        time_point cold_until;
        bool tells_rate_limit = false;
        std::optional<double> rate_limit;
    };

    void add(upstream_record record, time_point now);
    void apply_early_notice(replica& added, time_point now);
    void remember_notice(
        const std::string& id,
        std::uint64_t start_id,
        const answer_notice& notice,
        time_point now);
    void remove(replica_number number);
    /// Applies a record regardless of its position.
    void update(replica& target, upstream_record record, time_point now);
    /// \returns Whether `a` has a better claim to the address of both than `b`.
    [[nodiscard]] bool
    has_better_claim(const replica& a, const replica& b) const;
    /// Settles which of the replicas with the address has it.
    void settle_address(const endpoint& address);

    std::vector<std::unique_ptr<replica>> replicas_;
    std::unordered_map<std::string, replica_number> by_id_;
    std::unordered_map<std::string, std::vector<replica_number>> by_service_;
    /// The live replicas that are published with the address.
    std::map<endpoint, std::vector<replica_number>> by_address_;
    /// Empty before the first configuration; all count as named then.
    std::set<std::string, std::less<>> named_services_;
    std::set<std::string, std::less<>> excluded_;
    /// By address: notices of removed upstreams, so that a publication that
    /// lapsed and returns changes nothing.
    std::map<endpoint, upstream_notice> notices_;
    std::map<std::string, early_notice> early_notices_; ///< By id.
    time_point confirmed_at_;
    /// When the store lost the exclusion of a domain.
    std::map<std::string, time_point, std::less<>> lost_exclusions_;
};

} // namespace peridotward
