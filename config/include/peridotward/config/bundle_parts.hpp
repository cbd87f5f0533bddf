#pragma once

#include <peridotward/config/bundle.hpp>
#include <peridotward/config/manifest.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief Contents of parts by digest.
using part_map = std::map<std::string, std::string, std::less<>>;

/// \brief All values to publish for one bundle.
struct bundle_files
{
    manifest root;
    part_map parts; ///< The parts and the lists of parts.
};

/// \brief Splits a valid bundle into parts.
///
/// \remarks The order of elements is kept. The hash of an element's id decides
/// whether a part ends after it, so an added element changes only the part that
/// contains it. Source: Muthitacharoen, Chen, Mazieres, "A low-bandwidth
/// network file system", 2001.
///
/// \returns The manifest and the parts, or the error of `build_bundle`.
[[nodiscard]] result<bundle_files> split_bundle(const json& document);

/// \brief Checks the bytes received for a part.
///
/// \returns Nothing, or `config_invalid` if size or digest differ.
[[nodiscard]] result<void>
check_part(const part_ref& ref, std::string_view bytes);

/// \returns The parts that `assemble_bundle` needs and `parts` lacks: first the
/// lists, then the parts that the available lists name. `config_invalid` if a
/// list is invalid or the bundle is longer than `max_bundle_bytes`.
[[nodiscard]] result<std::vector<part_ref>>
missing_parts(const manifest& root, const part_map& parts);

/// \returns The complete document, or `config_invalid` if a part is missing or
/// invalid.
[[nodiscard]] result<json>
assemble_document(const manifest& root, const part_map& parts);

/// \returns The checked bundle that `root` describes, or `config_invalid`, also
/// if its digest is not the manifest's.
[[nodiscard]] result<bundle_ptr>
assemble_bundle(const manifest& root, const part_map& parts);

/// \brief Removes the parts that `root` and its lists do not name.
void remove_unreferenced(part_map& parts, const manifest& root);

} // namespace peridotward
