#include "address_pool.hpp"

#include <algorithm>

namespace peridotward::ctl {

address_pool::address_pool(std::vector<endpoint> seed_addresses)
{
    for (auto& address : seed_addresses)
        addresses_.push_back({std::move(address)});
}

bool address_pool::update(const json& body, time_point now)
{
    try {
        std::vector<pooled_address> listed;
        for (const auto& entry : body.at("entries")) {
            const auto address =
                parse_endpoint(entry.at("address").get<std::string>());
            if (address)
                listed.push_back({*address});
        }
        const auto max_age = body.at("max_age_ms").get<std::int64_t>();
        if (listed.empty() || max_age < 0)
            return false;
        addresses_ = std::move(listed);
        expires_ = now + milliseconds{max_age};
        return true;
    }
    catch (const json::exception&) {
        return false;
    }
}

endpoint address_pool::next(const std::optional<endpoint>& avoid)
{
    for (std::size_t step = 0; step < addresses_.size(); ++step) {
        const auto& candidate =
            addresses_[next_position_++ % addresses_.size()];
        if (!candidate.failed && candidate.address != avoid)
            return candidate.address;
    }
    return addresses_[next_position_++ % addresses_.size()].address;
}

void address_pool::mark_failed(const endpoint& address)
{
    for (auto& known : addresses_) {
        if (known.address == address)
            known.failed = true;
    }
}

} // namespace peridotward::ctl
