#pragma once

#include <peridotward/core/placement/replica_selector.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotward {

/// \brief The instances that quotas of accounts are divided among.
///
/// \remarks An instance that is not seen any more may be dead or cut off; in
/// the second case it grants credits too. So the instances that this one sees
/// only grant the part of each quota that their weight has among all instances
/// known recently. One that has shut down in order counts no longer.
class quota_fleet
{
public:
    /// Granters of each account. Without one of five, the others grant the
    /// whole quota if the tolerance is a quarter.
    static constexpr std::size_t max_granters = 5;
    /// Time after which an instance that is not seen is forgotten: longer than
    /// partitions last, short enough for machines that were taken away.
    static constexpr std::chrono::minutes forget_time{10};
    /// Time until a larger part of the quotas is granted, in which instances
    /// that were cut off have seen that they no longer are.
    static constexpr milliseconds raise_delay{1500};
    /// Factor by which the part that visible instances grant exceeds their
    /// share, so that the loss of one of eight instances leaves the quota
    /// whole; what both sides of a partition grant beyond it is within the
    /// tolerance.
    static constexpr double part_factor = 1.1;

    /// \brief Adopts a view that has another revision than the last one.
    /// \returns Whether anything changed.
    bool update(const fleet_view& view, time_point now);

    /// \returns The part of each quota that the visible instances grant.
    [[nodiscard]] double part(time_point now);

    /// \returns The instances that grant credits of an account, in order.
    /// Those that shut down are not among them while there are others.
    [[nodiscard]] std::vector<std::string>
    granters(std::string_view account) const;

    [[nodiscard]] const std::string& self() const noexcept { return self_; }

    /// \returns The number of visible instances, with this one.
    [[nodiscard]] std::size_t size() const noexcept { return visible_.size(); }

private:
    struct known_instance
    {
        std::uint32_t weight = 1;
        bool visible = true;
        bool leaving = false; ///< Was shutting down when last seen.
        time_point seen_at;   ///< When a view last had it.
    };
    struct visible_instance
    {
        std::string name;
        std::uint32_t weight = 1;
        bool leaving = false;
    };

    std::string self_;
    std::uint64_t revision_ = ~std::uint64_t{0};
    std::unordered_map<std::string, known_instance> known_;
    std::vector<visible_instance> visible_;
    double part_ = 0;          ///< In force.
    double intended_part_ = 0; ///< Of the last view.
    time_point raise_at_;
    time_point next_forget_;
};

} // namespace peridotward
