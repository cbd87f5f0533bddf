#pragma once

#include <peridotward/base/error.hpp>
#include <peridotward/config/manifest.hpp>
#include <peridotward/config/settings.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief Public half of an approver's Ed25519 key.
struct approver_key
{
    std::string id;  ///< First 16 digits of the SHA-256 of `raw`.
    std::string raw; ///< 32 bytes.
};

/// \brief Who may sign a bundle and how many must.
struct sign_off_policy
{
    std::vector<approver_key> approvers;
    std::uint32_t required = 0; ///< 0 accepts a bundle without signatures.
};

/// \returns The public key in PEM text, or `config_invalid`.
[[nodiscard]] result<approver_key> parse_approver_key(std::string_view pem);

/// \returns The policy of the settings with its key files read, or the error
/// with the file's name. The same key in two files is refused.
[[nodiscard]] result<sign_off_policy>
load_sign_off(const sign_off_settings& wanted);

/// \brief Checks that enough distinct approvers signed `root`.
///
/// \returns Nothing, or `signature_invalid` with the number that was found.
[[nodiscard]] result<void>
check_sign_off(const manifest& root, const sign_off_policy& policy);

/// \brief Both halves of a new Ed25519 key, as PEM text.
struct key_pair
{
    std::string secret;
    std::string open;
};

/// \returns A new key pair, or `internal` when the library fails.
[[nodiscard]] result<key_pair> make_key_pair();

/// \brief Signs `root` with a secret key in PEM text and adds the signature;
/// an earlier one by the same key is replaced.
///
/// \returns The id of the key, or `config_invalid` for an unusable key.
[[nodiscard]] result<std::string>
sign_manifest(manifest& root, std::string_view secret_pem);

} // namespace peridotward
