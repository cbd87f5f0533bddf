#pragma once

#include <peridotward/core/configuration/bundle_translation.hpp>
#include <peridotward/core/placement/replica_stats.hpp>

#include <algorithm>
#include <concepts>
#include <optional>

namespace peridotward {

/// \brief Policy for the delay between an attempt and its hedge.
template<class Policy>
concept hedge_policy = requires(const Policy& policy, service_index service)
{
    /// Delay before a hedge, or nothing to never hedge.
    {
        policy.delay(service)
        } -> std::same_as<std::optional<duration>>;
    /// Time that even the fastest answer takes; an attempt closer to the
    /// deadline is pointless.
    {
        policy.min_latency(service)
        } -> std::same_as<duration>;
};

/// \brief Never hedges.
struct no_hedge
{
    [[nodiscard]] static std::optional<duration> delay(service_index) noexcept
    {
        return std::nullopt;
    }
    [[nodiscard]] static duration min_latency(service_index) noexcept
    {
        return {};
    }
};

/// \brief Hedges every service after the same delay; a baseline for
/// simulations.
struct fixed_delay
{
    duration after{};

    [[nodiscard]] std::optional<duration> delay(service_index) const noexcept
    {
        return after;
    }
    [[nodiscard]] static duration min_latency(service_index) noexcept
    {
        return {};
    }
};

/// \brief Hedges after a high quantile of the recent latencies of the shard.
class adaptive_delay
{
public:
    /// \param stats Latencies, by the indices of the bundle in force.
    /// \param translation Maps indices of the bundle of the query to those of
    /// the bundle in force; null when both are the same.
    explicit adaptive_delay(
        const replica_stats& stats,
        const bundle_translation* translation = nullptr) noexcept
        : stats_{&stats}, translation_{translation}
    {}

    [[nodiscard]] std::optional<duration>
    delay(service_index service) const noexcept
    {
        const auto* shard = find_latency(service);
        if (shard == nullptr)
            return default_delay;
        return std::max<duration>(shard->hedge_after, min_delay);
    }

    [[nodiscard]] duration min_latency(service_index service) const noexcept
    {
        const auto* shard = find_latency(service);
        return shard == nullptr ? duration{} : shard->least / 2;
    }

private:
    /// Used until enough answers of the shard were received.
    static constexpr milliseconds default_delay{50};
    static constexpr milliseconds min_delay{1};

    /// \returns The latencies of the shard, or null before enough answers were
    /// received.
    [[nodiscard]] const shard_latency*
    find_latency(service_index service) const noexcept
    {
        if (translation_ != nullptr)
            service = (*translation_)(service);
        if (!service.valid())
            return nullptr;
        const auto& shard = stats_->at(service);
        const bool enough =
            shard.recent.count() >= replica_stats::enough_answers;
        return enough ? &shard : nullptr;
    }

    const replica_stats* stats_;
    const bundle_translation* translation_;
};

} // namespace peridotward
