#pragma once

#include <peridotward/base/error.hpp>
#include <peridotward/base/json.hpp>
#include <peridotward/config/bundle_types.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief One version of everything that operators define.
///
/// \remarks Immutable once parsed; a query keeps the one it started with.
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

    /// \returns The index of the entry called `id`, or an invalid one.
    [[nodiscard]] search_index find_search(std::string_view id) const noexcept;
    [[nodiscard]] service_index
    find_service(std::string_view id) const noexcept;
    [[nodiscard]] instance_index
    find_instance(std::string_view id) const noexcept;
    [[nodiscard]] domain_index find_domain(std::string_view id) const noexcept;
    [[nodiscard]] upstream_index
    find_upstream(std::string_view id) const noexcept;
    [[nodiscard]] class_index find_class(std::string_view id) const noexcept;

    /// \returns The map called `name` that is valid at `snapshot`, or null.
    [[nodiscard]] const shard_map*
    map_at(std::string_view name, snapshot_id snapshot) const noexcept;

    /// \returns Whether operators let `index` take new work.
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

/// \brief A bundle shared by the queries that started under it.
using bundle_ptr = std::shared_ptr<const bundle>;

/// \brief Reads and checks a bundle in JSON with comments.
///
/// \returns The bundle, or `config_invalid` with path, value and expectation.
[[nodiscard]] result<bundle_ptr> parse_bundle(std::string_view text);

/// \brief Checks a bundle that is already parsed as JSON.
[[nodiscard]] result<bundle_ptr> build_bundle(const json& document);

/// \returns SHA-256 in hexadecimal of `document` with sorted keys and without
/// blanks or comments.
[[nodiscard]] std::string canonical_digest(const json& document);

} // namespace peridotward
