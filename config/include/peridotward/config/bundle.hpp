#pragma once

#include <peridotward/base/error.hpp>
#include <peridotward/base/json.hpp>
#include <peridotward/config/bundle_types.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief One version of the configuration that operators publish.
///
/// \remarks Immutable after parsing; a query uses the bundle that was in force
/// when it started.
struct bundle
{
    bundle_version version = 0;
    std::string deployment;
    std::string digest; ///< SHA-256 of the canonical form, in hexadecimal.
    std::vector<failure_domain> domains;
    std::vector<configured_instance> instances;
    std::vector<caller_class> classes;
    std::vector<service> services;
    std::vector<upstream> upstreams;
    std::vector<shard_map> maps; ///< Sorted by name, then by snapshot.
    std::vector<search> searches;

    /// \returns The index of the element with the id `id`, or an invalid index.
    [[nodiscard]] search_index find_search(std::string_view id) const noexcept;
    [[nodiscard]] service_index
    find_service(std::string_view id) const noexcept;
    [[nodiscard]] instance_index
    find_instance(std::string_view id) const noexcept;
    [[nodiscard]] domain_index find_domain(std::string_view id) const noexcept;
    [[nodiscard]] upstream_index
    find_upstream(std::string_view id) const noexcept;
    [[nodiscard]] class_index find_class(std::string_view id) const noexcept;

    /// \returns The shard map with the name `name` that is valid at `snapshot`,
    /// or null.
    [[nodiscard]] const shard_map*
    map_at(std::string_view name, snapshot_id snapshot) const noexcept;

    /// \returns Whether the admin states of the upstream and of its failure
    /// domain allow new requests.
    [[nodiscard]] bool admits(upstream_index index) const noexcept;

    [[nodiscard]] const upstream& at(upstream_index index) const
    {
        return upstreams[index.position()];
    }
    [[nodiscard]] const service& at(service_index index) const
    {
        return services[index.position()];
    }
    [[nodiscard]] const search& at(search_index index) const
    {
        return searches[index.position()];
    }
    [[nodiscard]] const service& service_of(upstream_index index) const
    {
        return at(at(index).service);
    }
};

/// \brief A bundle, shared by the queries that use it.
using bundle_ptr = std::shared_ptr<const bundle>;

/// \brief Parses and checks a bundle in JSON with comments.
///
/// \returns The bundle, or `config_invalid` with the path of the wrong member,
/// its value and what was expected.
[[nodiscard]] result<bundle_ptr> parse_bundle(std::string_view text);

/// \brief Builds a bundle from parsed JSON and checks it.
///
/// \returns As `parse_bundle`.
[[nodiscard]] result<bundle_ptr> build_bundle(const json& document);

/// \returns The SHA-256, in hexadecimal, of `document` with sorted keys and
/// without whitespace or comments.
[[nodiscard]] std::string canonical_digest(const json& document);

} // namespace peridotward
