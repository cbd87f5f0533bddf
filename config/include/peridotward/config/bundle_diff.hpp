#pragma once

#include <peridotward/config/bundle.hpp>

#include <string>
#include <vector>

namespace peridotward {

/// \brief The differences between two bundles as text for operators.
struct bundle_diff
{
    std::vector<std::string> changes;
    std::vector<std::string> warnings; ///< Changes that may cause failures.
};

/// \returns The changes from `before` to `after`. Warnings are added for: a
/// version that does not increase, another deployment, a search that loses
/// slots, a service without an upstream that may get new requests, keys that no
/// shard serves any more, more than one changed instance or failure domain, and
/// a changed address of an upstream.
[[nodiscard]] bundle_diff
diff_bundles(const bundle& before, const bundle& after);

} // namespace peridotward
