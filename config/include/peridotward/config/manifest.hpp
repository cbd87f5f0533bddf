#pragma once

#include <peridotward/base/error.hpp>
#include <peridotward/config/bundle_types.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief Maximum size of a value in the configuration service, in bytes.
inline constexpr std::size_t max_value_bytes = 1U << 20U;

/// \brief Maximum length of one list of parts.
inline constexpr std::size_t max_listed_parts = 4096;

/// \brief Maximum total size of the parts of a bundle, in bytes.
inline constexpr std::size_t max_bundle_bytes = 16U << 20U;

/// \brief Reference to a content-addressed value: a part or a list of parts.
struct part_ref
{
    std::string name;      ///< Section and id of the first element.
    std::string digest;    ///< SHA-256 of the value, in hexadecimal.
    std::size_t bytes = 0; ///< Size of the value.

    auto operator<=>(const part_ref&) const = default;
};

/// \brief One approver's signature of a manifest.
struct manifest_signature
{
    std::string key;       ///< Id of the approver's public key.
    std::string signature; ///< Ed25519, in hexadecimal.

    auto operator<=>(const manifest_signature&) const = default;
};

/// \brief The root of a bundle that is published in parts.
///
/// \remarks A Merkle tree: `parts` refers to lists of parts, which refer to the
/// parts with the elements, so that a change of one element changes only one
/// part, one list and the manifest. Source: Merkle, "A digital signature based
/// on a conventional encryption function", 1987.
struct manifest
{
    bundle_version version = 0;
    std::string deployment;
    std::string digest; ///< Of the bundle, see `canonical_digest`.
    std::vector<part_ref> parts;
    std::vector<manifest_signature> signatures;
};

/// \returns The manifest in the JSON `text`, or `config_invalid` with the path
/// and value of the wrong member.
[[nodiscard]] result<manifest> parse_manifest(std::string_view text);

/// \returns The canonical JSON text of `root`; `parse_manifest` is the inverse.
[[nodiscard]] std::string manifest_text(const manifest& root);

/// \returns The SHA-256, in hexadecimal, of the canonical text without
/// signatures. Approvers sign this digest.
[[nodiscard]] std::string signing_digest(const manifest& root);

/// \returns The list of parts in the JSON `text`, or `config_invalid`.
[[nodiscard]] result<std::vector<part_ref>>
parse_part_list(std::string_view text);

/// \returns The canonical JSON text of a list of parts.
[[nodiscard]] std::string part_list_text(const std::vector<part_ref>& parts);

/// \returns The name of a part in the configuration service.
[[nodiscard]] std::string
part_value_name(std::string_view bundle_name, std::string_view digest);

} // namespace peridotward
