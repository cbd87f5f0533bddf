#pragma once

#include "../../config/tests/sample_bundle.hpp"
#include "config_fleet.hpp"

namespace peridotward::testing {

/// Publishes signed bundles and remembers them.
class config_publisher
{
public:
    explicit config_publisher(sample_size size = {}) : size_{size} {}

    [[nodiscard]] sign_off_policy policy() const
    {
        return {{parse_approver_key(keys_.open).value()}, 1};
    }

    /// Publishes a bundle; `variant` tells apart bundles of one version.
    bundle_files publish(
        config_fleet& fleet, bundle_version version, std::uint32_t variant = 0)
    {
        auto document = sample_bundle(version, size_);
        document["services"][version % document["services"].size()]["slots"] =
            1 + (version + variant) % 5;
        document["searches"][0]["policy"]["max_queued"] = 1 + variant;
        auto files = split_bundle(document).value();
        sign_manifest(files.root, keys_.secret).value();
        digests_[version].insert(files.root.digest);
        fleet.publish(version, files.root, files.parts);
        return files;
    }

    /// Publishes a bundle that nobody signed.
    void publish_unsigned(config_fleet& fleet, bundle_version version)
    {
        const auto files = split_bundle(sample_bundle(version, size_)).value();
        fleet.publish(version, files.root, files.parts);
    }

    /// Publishes `root` again with the signature of one more key.
    static void
    sign_again(config_fleet& fleet, manifest root, const key_pair& more)
    {
        sign_manifest(root, more.secret).value();
        fleet.publish(root.version, root, {});
    }

    [[nodiscard]] bool published(const bundle& which) const
    {
        const auto found = digests_.find(which.version);
        return found != digests_.end() &&
               found->second.contains(which.digest) && canonical_size(which);
    }

private:
    /// A whole bundle has all entries of the sample.
    [[nodiscard]] bool canonical_size(const bundle& which) const
    {
        return which.upstreams.size() ==
                   static_cast<std::size_t>(size_.services * size_.replicas) &&
               which.instances.size() ==
                   static_cast<std::size_t>(size_.instances);
    }

    sample_size size_;
    key_pair keys_ = make_key_pair().value();
    std::map<bundle_version, std::set<std::string>> digests_;
};

} // namespace peridotward::testing
