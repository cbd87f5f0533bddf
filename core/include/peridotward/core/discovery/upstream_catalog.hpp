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

/// \brief Position of an upstream in the catalog; never used again.
using replica_number = std::uint32_t;

/// \brief One upstream, from its first publication to its end.
struct replica
{
    replica_number number = 0;
    upstream_record published;
    replica_health health;
    time_point cold_until;
    /// Set when the publication went away: no request is sent from then on.
    std::optional<time_point> gone_at;

    [[nodiscard]] bool cold(time_point now) const noexcept
    {
        return now < cold_until;
    }
};

/// \brief How willingly a replica is used; later ones only if needed.
enum class replica_availability : std::uint8_t
{
    serving,
    unpublished, ///< Its publication is gone, which may be a lapse of the
                 ///< store.
    excluded,    ///< Draining, ended, or in an evacuated failure domain.
};

/// \brief The upstreams that are published, by service.
///
/// \remarks A publication that disappears may have lapsed while the store was
/// away, and returns then within `lapse_return` of the store. Until that time
/// has passed the replica stays usable where nothing better is there.
class upstream_catalog
{
public:
    /// Entries that lapsed in an outage of the store are back within 2 s; the
    /// rest is the way of the watch. Below the least drain bound (3 s).
    static constexpr milliseconds lapse_return{2300};

    /// \brief Takes in a new or changed publication.
    void publish(upstream_record record, time_point now);

    /// \brief Takes in that the publication `id` is gone.
    void withdraw(std::string_view id, time_point now);

    /// \brief Takes in a whole listing; what it lacks is withdrawn.
    void replace(std::vector<upstream_record> listing, time_point now);

    /// \brief Bars or admits all upstreams of a failure domain.
    void set_domain_excluded(std::string_view domain, bool excluded);
    void set_excluded_domains(std::set<std::string, std::less<>> domains);

    /// \returns The live replicas of `service`; empty for an unknown one.
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

    /// \brief Forgets replicas whose publication has not come back.
    ///
    /// \returns The numbers of the forgotten ones.
    std::vector<replica_number> expire(time_point now);

    /// \returns The replicas that are known, without those that ended.
    [[nodiscard]] std::vector<replica_number> live() const;

    /// \returns The failure domains that are taken out.
    [[nodiscard]] const auto& excluded_domains() const noexcept
    {
        return barred_;
    }

private:
    void add(upstream_record record, time_point now);
    void remove(replica_number number);

    std::vector<std::unique_ptr<replica>> replicas_;
    std::unordered_map<std::string, replica_number> by_id_;
    std::unordered_map<std::string, std::vector<replica_number>> by_service_;
    std::set<std::string, std::less<>> barred_;
};

} // namespace peridotward
