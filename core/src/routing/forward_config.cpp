#include <peridotward/base/hash.hpp>
#include <peridotward/core/routing/forward_config.hpp>

namespace peridotward {

namespace {

std::string index_key(std::string_view host, std::string_view prefix)
{
    std::string key;
    key.reserve(host.size() + prefix.size());
    key += host;
    key += prefix;
    return key;
}

} // namespace

void forward_config::build_index()
{
    by_prefix_.clear();
    for (std::uint32_t i = 0; i < routes.size(); ++i)
        by_prefix_.emplace(index_key(routes[i].host, routes[i].prefix), i);
}

std::optional<std::size_t>
forward_config::find(std::string_view host, std::string_view path) const
{
    auto key = index_key(host, path);
    while (true) {
        const auto slash = key.rfind('/');
        if (slash == std::string::npos || slash < host.size())
            return std::nullopt;
        key.resize(slash + 1);
        if (const auto found = by_prefix_.find(key); found != by_prefix_.end())
            return found->second;
        key.pop_back();
    }
}

std::uint64_t forward_config::digest_of(const forward_route& route) const
{
    std::string text = route.host;
    const auto add = [&](std::string_view part) {
        text += '\n';
        text += part;
    };
    add(route.prefix);
    add(name_of(route.safety));
    for (const auto time : {route.timeout, route.target_latency})
        add(std::to_string(time.count()));
    add(std::to_string(route.priority));
    add(std::to_string(route.max_attempts));
    for (const auto& target : route.targets) {
        add(services[target.service].name);
        add(std::to_string(target.weight));
    }
    for (const auto shard : route.shards)
        add(services[shard].name);
    add(std::to_string(route.top_records));
    add(std::to_string(route.min_shard_share));
    if (!accounts.empty()) {
        add(route.open_to_all ? "open" : "keys");
        add(std::to_string(accounts.digest()));
    }
    return hash_of(text);
}

} // namespace peridotward
