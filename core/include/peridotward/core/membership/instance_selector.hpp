#pragma once

#include <peridotward/base/endpoint.hpp>
#include <peridotward/core/membership/peer_message.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief An instance that callers might use.
struct instance_candidate
{
    std::string id;
    std::string domain;
    endpoint callers;
    bool usable = false;        ///< Alive, ready and not leaving.
    std::uint32_t capacity = 0; ///< Thousandths of a core; 0: not told.
    member_load load = member_load::calm;
};

/// \brief Orders the usable instances for one caller: those of the caller's
/// failure domain first, each group by rendezvous hashing of the caller, so
/// that callers spread evenly and a caller keeps its order while others come
/// and go.
///
/// \param caller_domain May be empty when it is not known.
[[nodiscard]] std::vector<instance_candidate> order_instances(
    std::vector<instance_candidate> candidates,
    std::string_view caller,
    std::string_view caller_domain);

/// \brief The instances that callers of one failure domain are told of.
///
/// \remarks Strong instances serve a search sooner, since its parts are sent
/// one after the other; weaker ones are named only when strong ones are busy
/// or too few. Within that, the caller's own failure domain is named alone as
/// long as it has `min_local` of them. Deterministic, so all instances name
/// the same.
class directory_selector
{
public:
    /// An instance is strong with this share of the greatest capacity.
    static constexpr double strong_capacity_share = 0.5;
    /// Calm strong instances below which weaker ones are named as well.
    static constexpr std::size_t min_strong = 3;
    /// Instances of the own domain that stand in for each other.
    static constexpr std::size_t min_local = 2;

    [[nodiscard]] static std::vector<instance_candidate> select(
        std::vector<instance_candidate> candidates,
        std::string_view caller_domain,
        std::size_t most);
};

} // namespace peridotward
