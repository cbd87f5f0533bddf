#include <peridotward/base/hash.hpp>
#include <peridotward/core/budgets/fleet_share.hpp>
#include <peridotward/core/budgets/rate_share.hpp>

#include <algorithm>
#include <functional>

namespace peridotward {

namespace {

constexpr seconds one_second{1};

/// Upper limit of a named rate; no replica takes as many requests.
constexpr double max_rate = 1e6;

std::uint32_t within_a_second(std::uint32_t share) noexcept
{
    constexpr std::uint32_t spans = rate_share::window / one_second;
    return (share + spans - 1) / spans;
}

/// Requests within the window that the replica takes from all instances.
std::uint32_t total_of(double per_second) noexcept
{
    const auto total = std::min(per_second, max_rate) *
                       static_cast<double>(rate_share::window / one_second);
    return std::max(static_cast<std::uint32_t>(total), 1U);
}

} // namespace

std::uint32_t rate_share::of(
    double per_second,
    std::string_view id,
    std::string_view self,
    std::span<const std::string> others)
{
    return fleet_share(total_of(per_second), id, self, others);
}

std::vector<std::string> rate_share::holders(
    double per_second,
    std::string_view id,
    std::span<const std::string> instances)
{
    std::vector<std::string> found{instances.begin(), instances.end()};
    const auto total = total_of(per_second);
    if (found.size() <= total)
        return found;
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    for (std::size_t i = 0; i < found.size(); ++i)
        ranked.emplace_back(rendezvous_weight(id, found[i]), i);
    std::nth_element(
        ranked.begin(), ranked.begin() + total, ranked.end(), std::greater{});
    std::vector<std::string> chosen;
    for (std::size_t i = 0; i < total; ++i)
        chosen.push_back(std::move(found[ranked[i].second]));
    return chosen;
}

std::uint32_t
rate_share::sum(const std::vector<transfer>& transfers, time_point now) noexcept
{
    std::uint32_t count = 0;
    for (const auto& each : transfers)
        count += now < each.until ? each.count : 0;
    return count;
}

std::uint32_t
rate_share::allowance(std::uint32_t share, time_point now) const noexcept
{
    const auto available = share + sum(received_, now);
    return available - std::min(available, sum(granted_, now));
}

bool rate_share::try_acquire(std::uint32_t share, time_point now)
{
    const auto allowed = allowance(share, now);
    if (sent_.count(one_second, now) < within_a_second(allowed) &&
        sent_.try_acquire(allowed, now))
        return true;
    ++denied_;
    denied_at_ = now;
    return false;
}

time_point rate_share::earliest_retry(std::uint32_t share, time_point now) const
{
    const auto allowed = allowance(share, now);
    const auto in_window = sent_.earliest_retry(allowed, now);
    return sent_.count(one_second, now) < within_a_second(allowed)
               ? in_window
               : std::max(in_window, now + one_second);
}

std::uint32_t rate_share::grant(
    std::uint32_t share,
    std::string_view instance,
    std::uint32_t wanted,
    time_point now)
{
    std::erase_if(
        granted_, [&](const transfer& each) { return each.until <= now; });
    if (denied_at_ != time_point{} && now - denied_at_ < window)
        return 0;
    // Received requests can't be granted on: they expire before the grant.
    const auto granted = std::min(sum(granted_, now), share);
    const auto allowed = allowance(share, now);
    const auto unused = allowed - std::min(sent_.count(window, now), allowed);
    const auto added = std::min({wanted, unused, share - granted});
    auto found = std::find_if(
        granted_.begin(), granted_.end(), [&](const transfer& each) {
            return each.instance == instance;
        });
    if (found == granted_.end()) {
        if (added == 0)
            return 0;
        found = granted_.insert(found, {std::string{instance}, 0, {}});
    }
    found->count += added;
    found->until = now + grant_term + window;
    return found->count;
}

void rate_share::receive(
    std::string_view instance, std::uint32_t count, time_point until)
{
    std::erase_if(received_, [&](const transfer& each) {
        return each.instance == instance || each.until <= until - grant_term;
    });
    received_.push_back({std::string{instance}, count, until});
}

std::vector<std::string> rate_share::take_partners()
{
    std::vector<std::string> partners;
    for (const auto* transfers : {&granted_, &received_}) {
        for (const auto& each : *transfers)
            partners.push_back(each.instance);
    }
    granted_.clear();
    received_.clear();
    return partners;
}

std::vector<std::string> rate_share::due_renewals(
    std::uint32_t share, std::size_t max_count, time_point now) const
{
    std::vector<std::string> due;
    if (sent_.count(window, now) <= share)
        return due;
    for (const auto& each : received_) {
        if (now < each.until && each.until - now < renewal_margin &&
            due.size() < max_count)
            due.push_back(each.instance);
    }
    return due;
}

} // namespace peridotward
