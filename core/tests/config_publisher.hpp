#pragma once

#include "../../config/tests/sample_bundle.hpp"
#include "config_fleet.hpp"

namespace peridotward::testing {

/// Publishes signed bundles and records their digests.
class config_publisher
{
public:
    explicit config_publisher(sample_size size = {}) : size_{size} {}

    [[nodiscard]] sign_off_policy policy() const
    {
        return {{parse_approver_key(keys_.public_pem).value()}, 1};
    }

    /// Publishes a bundle; different values of `variant` give different bundles
    /// of one version.
    bundle_files publish(
        config_fleet& fleet, bundle_version version, std::uint32_t variant = 0)
    {
        auto document = sample_bundle(version, size_);
        document["services"][version % document["services"].size()]["slots"] =
            1 + (version + variant) % 5;
        document["searches"][0]["policy"]["max_queued"] = 1 + variant;
        auto files = split_bundle(document).value();
        sign_manifest(files.root, keys_.private_pem).value();
        digests_[version].insert(files.root.digest);
        fleet.publish(version, files.root, files.parts);
        return files;
    }

    /// Publishes a bundle without signatures.
    void publish_unsigned(config_fleet& fleet, bundle_version version)
    {
        const auto files = split_bundle(sample_bundle(version, size_)).value();
        fleet.publish(version, files.root, files.parts);
    }

    /// Publishes `root` again with an additional signature by `additional_key`.
    static void sign_again(
        config_fleet& fleet, manifest root, const key_pair& additional_key)
    {
        sign_manifest(root, additional_key.private_pem).value();
        fleet.publish(root.version, root, {});
    }

    /// \returns Whether `candidate` is a complete bundle that was published
    /// signed.
    [[nodiscard]] bool published(const bundle& candidate) const
    {
        const auto found = digests_.find(candidate.version);
        return found != digests_.end() &&
               found->second.contains(candidate.digest) && complete(candidate);
    }

private:
    /// \returns Whether a bundle has all elements of the sample.
    [[nodiscard]] bool complete(const bundle& candidate) const
    {
        return candidate.upstreams.size() ==
                   static_cast<std::size_t>(size_.services * size_.replicas) &&
               candidate.instances.size() ==
                   static_cast<std::size_t>(size_.instances);
    }

    sample_size size_;
    key_pair keys_ = make_key_pair().value();
    std::map<bundle_version, std::set<std::string>> digests_;
};

} // namespace peridotward::testing
