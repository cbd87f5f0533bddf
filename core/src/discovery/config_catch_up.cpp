#include <peridotward/base/hash.hpp>
#include <peridotward/core/discovery/config_catch_up.hpp>

#include <algorithm>
#include <vector>

namespace peridotward {

namespace {

/// \returns The members that have a higher version in force than `version`;
/// in an order that differs between instances, so that they ask different ones.
std::vector<std::string>
members_ahead(const membership& members, std::uint64_t version)
{
    std::vector<std::string> ahead;
    for (const auto& [instance_id, known] : members.members()) {
        if (known.config.version > version &&
            known.latest_update.state == member_state::alive)
            ahead.push_back(instance_id);
    }
    const auto weight = [&](const std::string& instance_id) {
        return rendezvous_weight(members.self().id, instance_id);
    };
    std::sort(ahead.begin(), ahead.end(), [&](const auto& a, const auto& b) {
        return weight(a) > weight(b);
    });
    return ahead;
}

} // namespace

std::optional<std::string> config_catch_up::check(
    const membership& members, std::uint64_t version, time_point now)
{
    if (version != version_) {
        version_ = version;
        behind_since_.reset();
    }
    const auto ahead = members_ahead(members, version);
    if (ahead.empty()) {
        behind_since_.reset();
        return std::nullopt;
    }
    if (!behind_since_)
        behind_since_ = now;
    if (fetching_ || now - *behind_since_ < tolerated_delay ||
        now < next_fetch_)
        return std::nullopt;
    fetching_ = true;
    return ahead.at(fetches_++ % ahead.size());
}

void config_catch_up::finished(time_point now) noexcept
{
    fetching_ = false;
    next_fetch_ = now + retry_pause;
}

std::string_view service_without_upstreams(
    const forward_config& config, const upstream_catalog& catalog)
{
    const auto lacks_upstreams = [&](forward_service_index service) {
        return catalog.of_service(config.services[service].name).empty();
    };
    for (const auto& route : config.routes) {
        for (const auto shard : route.shards) {
            if (lacks_upstreams(shard))
                return config.services[shard].name;
        }
        for (const auto& target : route.targets) {
            if (lacks_upstreams(target.service))
                return config.services[target.service].name;
        }
    }
    return {};
}

} // namespace peridotward
