#pragma once

#include <peridotward/config/bundle.hpp>
#include <peridotward/config/manifest.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief Bytes of parts by digest.
using part_map = std::map<std::string, std::string, std::less<>>;

/// \brief Everything that publishes one bundle.
struct bundle_files
{
    manifest root;
    part_map parts; ///< Parts and lists of parts.
};

/// \brief Splits a valid bundle into parts.
///
/// \remarks Entries keep their order. A part ends at an entry that the hash
/// of its id selects, so a new entry changes the part it falls into and no
/// other. Source: Muthitacharoen, Chen, Mazieres, "A low-bandwidth network
/// file system", 2001.
///
/// \returns The files, or `config_invalid` as `build_bundle` gives it.
[[nodiscard]] result<bundle_files> split_bundle(const json& document);

/// \brief Checks bytes that came for a digest.
///
/// \returns Nothing, or `config_invalid` when size or digest differ.
[[nodiscard]] result<void>
check_part(const part_ref& wanted, std::string_view bytes);

/// \returns The parts that must be there before `assemble_bundle` and are not
/// in `parts`: lists first, then what the lists name. An unreadable list or a
/// bundle that is too long gives `config_invalid`.
[[nodiscard]] result<std::vector<part_ref>>
missing_parts(const manifest& root, const part_map& parts);

/// \returns The whole document, or `config_invalid` when a part is missing or
/// the digest of the whole is not the manifest's.
[[nodiscard]] result<json>
assemble_document(const manifest& root, const part_map& parts);

/// \returns The checked bundle that `root` describes, or `config_invalid`.
[[nodiscard]] result<bundle_ptr>
assemble_bundle(const manifest& root, const part_map& parts);

/// \brief Removes the parts that `root` does not name.
void keep_only(part_map& parts, const manifest& root);

} // namespace peridotward
