#include "entry_pool.hpp"

#include <algorithm>

namespace peridotward::ctl {

entry_pool::entry_pool(std::vector<endpoint> first)
{
    for (auto& address : first)
        entries_.push_back({std::move(address)});
}

bool entry_pool::update(const json& body, time_point now)
{
    try {
        std::vector<known_entry> listed;
        for (const auto& entry : body.at("entries")) {
            const auto address =
                parse_endpoint(entry.at("address").get<std::string>());
            if (address)
                listed.push_back({*address});
        }
        const auto max_age = body.at("max_age_ms").get<std::int64_t>();
        if (listed.empty() || max_age < 0)
            return false;
        entries_ = std::move(listed);
        expires_ = now + milliseconds{max_age};
        return true;
    }
    catch (const json::exception&) {
        return false;
    }
}

endpoint entry_pool::next(const std::optional<endpoint>& avoid)
{
    for (std::size_t step = 0; step < entries_.size(); ++step) {
        const auto& entry = entries_[turn_++ % entries_.size()];
        if (!entry.failed && entry.address != avoid)
            return entry.address;
    }
    return entries_[turn_++ % entries_.size()].address;
}

void entry_pool::note_failure(const endpoint& entry)
{
    for (auto& known : entries_) {
        if (known.address == entry)
            known.failed = true;
    }
}

} // namespace peridotward::ctl
