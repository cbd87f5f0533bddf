#pragma once

#include <peridotward/core/discovery/upstream_catalog.hpp>
#include <peridotward/core/quarantine/crash_history.hpp>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace peridotward {

/// \brief Requests that were open on connections that replicas ended, until it
/// is known whether the replica has crashed.
class interrupted_requests
{
public:
    /// How long a crash of the replica may become known.
    static constexpr seconds verification_time{5};
    /// Beyond it the oldest are dropped.
    static constexpr std::size_t max_requests = 1024;

    struct interrupted_request
    {
        replica_number replica = 0;
        request_fingerprints request;
        crash_history::marks sent_with;
        time_point at;
    };

    void add(const interrupted_request& added)
    {
        if (requests_.size() == max_requests)
            requests_.erase(requests_.begin());
        requests_.push_back(added);
    }

    /// \returns The requests that the replica was running when it crashed;
    /// they are removed.
    [[nodiscard]] std::vector<interrupted_request>
    take(replica_number crashed, time_point now)
    {
        expire(now);
        const auto taken = std::stable_partition(
            requests_.begin(), requests_.end(), [&](const auto& each) {
                return each.replica != crashed;
            });
        std::vector<interrupted_request> result{taken, requests_.end()};
        requests_.erase(taken, requests_.end());
        return result;
    }

    /// \brief Drops the requests whose replicas have not crashed.
    void expire(time_point now)
    {
        std::erase_if(requests_, [&](const auto& each) {
            return now - each.at > verification_time;
        });
    }

private:
    std::vector<interrupted_request> requests_; ///< Oldest first.
};

} // namespace peridotward
