#pragma once

#include <peridotward/config/bundle.hpp>

#include <string>
#include <vector>

namespace peridotward {

/// \brief What one bundle changes against another, in words.
struct bundle_diff
{
    std::vector<std::string> changes;
    std::vector<std::string> warnings; ///< Changes that carry a risk.
};

/// \returns The changes from `before` to `after`. Risks are: a version that
/// does not rise, a search that loses slots, a shard without a replica that
/// takes work, keys that no shard serves any more, more than one seat or
/// domain changed at once, and a changed address.
[[nodiscard]] bundle_diff
diff_bundles(const bundle& before, const bundle& after);

} // namespace peridotward
