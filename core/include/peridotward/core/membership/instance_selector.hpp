#pragma once

#include <peridotward/base/endpoint.hpp>
#include <peridotward/core/membership/peer_message.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief An instance that callers may be able to use.
struct instance_candidate
{
    std::string id;
    std::string domain;
    endpoint callers;
    bool usable = false;        ///< Whether it is alive, ready and not leaving.
    std::uint32_t capacity = 0; ///< In thousandths of a core; 0: unknown.
    member_load load = member_load::calm;
};

/// \brief Orders the usable instances for one caller.
///
/// \remarks Instances of the caller's failure domain come first. Each group is
/// ordered by rendezvous hashing of the caller, so that callers spread evenly
/// and the order for a caller changes little when instances join or leave.
///
/// \param caller_domain Empty when unknown.
///
/// \returns The usable candidates, best one first.
[[nodiscard]] std::vector<instance_candidate> order_instances(
    std::vector<instance_candidate> candidates,
    std::string_view caller,
    std::string_view caller_domain);

/// \brief Selects the instances that the directory lists for callers of one
/// failure domain.
///
/// \remarks A strong instance, one with a large share of the greatest
/// capacity, answers a query sooner, since the query's parts are sent one
/// after another. Weaker instances are listed only when strong ones are busy
/// or too few. If the caller's failure domain has at least `min_local` of the
/// remaining instances, only those are listed; if it has fewer, but any,
/// `min_local` instances are listed, those of the domain first. The selection
/// is deterministic, so that all instances with the same member states list the
/// same.
class directory_selector
{
public:
    /// An instance is strong if it has at least this share of the greatest
    /// capacity.
    static constexpr double strong_capacity_share = 0.5;
    /// Weaker instances are listed too if fewer strong ones are calm.
    static constexpr std::size_t min_strong = 3;
    /// Instances of the caller's domain needed to list no others, so that one
    /// can replace another.
    static constexpr std::size_t min_local = 2;

    /// \param caller_domain Empty when unknown.
    /// \param max_count Maximum number of instances to list.
    ///
    /// \returns The instances to list, best one first.
    [[nodiscard]] static std::vector<instance_candidate> select(
        std::vector<instance_candidate> candidates,
        std::string_view caller_domain,
        std::size_t max_count);
};

} // namespace peridotward
