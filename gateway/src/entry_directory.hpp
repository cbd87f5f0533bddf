#pragma once

#include <peridotward/gateway/peer_gossip.hpp>

#include <string_view>
#include <vector>

namespace peridotward {

/// \brief Which instances callers are told of, by what this one knows.
class entry_directory
{
public:
    /// Handed out at once to callers of the directory.
    static constexpr std::size_t most_named = 64;

    explicit entry_directory(const peer_gossip& peers) : peers_{&peers} {}

    /// \param caller_domain Empty when it is not known.
    [[nodiscard]] std::vector<instance_candidate>
    named(std::string_view caller_domain) const
    {
        return directory_selector::select(
            peers_->serving(), caller_domain, most_named);
    }

private:
    const peer_gossip* peers_;
};

} // namespace peridotward
