#pragma once

#include <peridotward/base/error.hpp>
#include <peridotward/config/bundle_types.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief Longest value that the configuration service holds, in bytes.
inline constexpr std::size_t max_value_bytes = 1U << 20U;

/// \brief Most entries of one list of parts.
inline constexpr std::size_t max_listed_parts = 4096;

/// \brief Longest bundle, all of its parts together, in bytes.
inline constexpr std::size_t max_bundle_bytes = 16U << 20U;

/// \brief One value that is named by its contents.
struct part_ref
{
    std::string name;   ///< Section, and the first entry in it.
    std::string digest; ///< SHA-256 of its bytes, in hexadecimal.
    std::size_t bytes = 0;

    auto operator<=>(const part_ref&) const = default;
};

/// \brief One approver's signature of a manifest.
struct manifest_signature
{
    std::string key;       ///< Id of the public key.
    std::string signature; ///< Ed25519, in hexadecimal.

    auto operator<=>(const manifest_signature&) const = default;
};

/// \brief The root of a bundle that is published in parts.
///
/// \remarks `parts` names lists of parts, and those name the parts that hold
/// entries, so that a change republishes one part, one list and the manifest.
/// Source: Merkle, "A digital signature based on a conventional encryption
/// function", 1987.
struct manifest
{
    bundle_version version = 0;
    std::string deployment;
    std::string digest; ///< Of the whole bundle, see `canonical_digest`.
    std::vector<part_ref> parts;
    std::vector<manifest_signature> signatures;
};

/// \returns The manifest in `text`, or `config_invalid` with path and value.
[[nodiscard]] result<manifest> parse_manifest(std::string_view text);

/// \returns The canonical text of `root`, which `parse_manifest` reads.
[[nodiscard]] std::string manifest_text(const manifest& root);

/// \returns SHA-256 in hexadecimal of the canonical text without signatures;
/// this is what approvers sign.
[[nodiscard]] std::string signing_digest(const manifest& root);

/// \returns The list of parts in `text`, or `config_invalid`.
[[nodiscard]] result<std::vector<part_ref>>
parse_part_list(std::string_view text);

/// \returns The canonical text of a list of parts.
[[nodiscard]] std::string part_list_text(const std::vector<part_ref>& parts);

/// \returns The name under which a part is published.
[[nodiscard]] std::string
part_value_name(std::string_view bundle_name, std::string_view digest);

} // namespace peridotward
