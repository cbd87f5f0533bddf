#pragma once

#include <peridotward/core/configuration/bundle_translation.hpp>
#include <peridotward/core/placement/replica_stats.hpp>

#include <algorithm>
#include <concepts>
#include <optional>

namespace peridotward {

/// \brief Decides how long to wait before a hedge.
template<class Policy>
concept hedge_policy = requires(const Policy& policy, service_index service)
{
    /// The wait, or nothing for no hedge.
    {
        policy.delay(service)
        } -> std::same_as<std::optional<duration>>;
    /// Time below which an attempt cannot be answered.
    {
        policy.least(service)
        } -> std::same_as<duration>;
};

/// \brief Never hedges.
struct no_hedge
{
    [[nodiscard]] static std::optional<duration> delay(service_index) noexcept
    {
        return std::nullopt;
    }
    [[nodiscard]] static duration least(service_index) noexcept { return {}; }
};

/// \brief Hedges after the same delay everywhere; a baseline.
struct fixed_delay
{
    duration after{};

    [[nodiscard]] std::optional<duration> delay(service_index) const noexcept
    {
        return after;
    }
    [[nodiscard]] static duration least(service_index) noexcept { return {}; }
};

/// \brief Hedges after a high quantile of the shard's own latency.
class adaptive_delay
{
public:
    /// \brief `translation` leads from the query's bundle to the one that
    /// `seen` knows and is null when they are the same.
    explicit adaptive_delay(
        const replica_stats& seen,
        const bundle_translation* translation = nullptr) noexcept
        : seen_{&seen}, translation_{translation}
    {}

    [[nodiscard]] std::optional<duration>
    delay(service_index service) const noexcept
    {
        const auto* shard = known(service);
        if (shard == nullptr)
            return unknown_delay;
        return std::max<duration>(shard->hedge_after, least_delay);
    }

    [[nodiscard]] duration least(service_index service) const noexcept
    {
        const auto* shard = known(service);
        return shard == nullptr ? duration{} : shard->least / 2;
    }

private:
    static constexpr milliseconds unknown_delay{50};
    static constexpr milliseconds least_delay{1};

    /// Returns null before enough answers were seen.
    [[nodiscard]] const shard_latency*
    known(service_index service) const noexcept
    {
        if (translation_ != nullptr)
            service = (*translation_)(service);
        if (!service.valid())
            return nullptr;
        const auto& shard = seen_->at(service);
        const bool enough =
            shard.recent.count() >= replica_stats::enough_answers;
        return enough ? &shard : nullptr;
    }

    const replica_stats* seen_;
    const bundle_translation* translation_;
};

} // namespace peridotward
