#pragma once

#include <peridotward/core/discovery/upstream_record.hpp>
#include <peridotward/core/placement/replica_health.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
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
    /// When the publication disappeared; used only if no other replica serves.
    std::optional<time_point> unpublished_at;

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
    excluded,    ///< Draining, or in an evacuated failure domain.
};

/// \brief The published upstreams, by service.
///
/// \remarks A publication may lapse while the store is down; it then returns
/// within `lapse_return` after the store does. Until that time has passed the
/// replica stays usable when there is no better one.
class upstream_catalog
{
public:
    /// Publications that lapsed in an outage of the store return within 2 s;
    /// the rest is the delay of the watch. Less than the minimum drain time of
    /// 3 s.
    static constexpr milliseconds lapse_return{2300};

    /// \brief Adds a new publication or updates a known one.
    void publish(upstream_record record, time_point now);

    /// \brief Marks the publication `id` as gone.
    void withdraw(std::string_view id, time_point now);

    /// \brief Replaces all publications; those not in the listing are
    /// withdrawn.
    void replace(std::vector<upstream_record> listing, time_point now);

    /// \brief Excludes or readmits all upstreams of a failure domain.
    void set_domain_excluded(std::string_view domain, bool excluded);
    void set_excluded_domains(std::set<std::string, std::less<>> domains);

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

    /// \brief Removes the replicas whose publication has not returned in time.
    ///
    /// \returns The numbers of the removed replicas.
    std::vector<replica_number> expire(time_point now);

    /// \returns The numbers of all replicas that were not removed.
    [[nodiscard]] std::vector<replica_number> live() const;

    /// \returns The excluded failure domains.
    [[nodiscard]] const auto& excluded_domains() const noexcept
    {
        return excluded_;
    }

private:
    void add(upstream_record record, time_point now);
    void remove(replica_number number);

    std::vector<std::unique_ptr<replica>> replicas_;
    std::unordered_map<std::string, replica_number> by_id_;
    std::unordered_map<std::string, std::vector<replica_number>> by_service_;
    std::set<std::string, std::less<>> excluded_;
};

} // namespace peridotward
