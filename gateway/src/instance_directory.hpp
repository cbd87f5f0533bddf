#pragma once

#include <peridotward/gateway/peer_gossip.hpp>

#include <string_view>
#include <vector>

namespace peridotward {

/// \brief Selects the instances that the directory lists, from this instance's
/// view of the membership.
class instance_directory
{
public:
    /// Max instances in one directory answer.
    static constexpr std::size_t max_listed = 64;

    explicit instance_directory(const peer_gossip& peers) : peers_{&peers} {}

    /// \param caller_domain The caller's failure domain; empty if unknown.
    [[nodiscard]] std::vector<instance_candidate>
    select(std::string_view caller_domain) const
    {
        return directory_selector::select(
            peers_->serving(), caller_domain, max_listed);
    }

private:
    const peer_gossip* peers_;
};

} // namespace peridotward
