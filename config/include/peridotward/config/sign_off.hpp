#pragma once

#include <peridotward/base/error.hpp>
#include <peridotward/config/manifest.hpp>
#include <peridotward/config/settings.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief An approver's Ed25519 public key.
struct approver_key
{
    std::string id;  ///< First 16 hexadecimal digits of the SHA-256 of `raw`.
    std::string raw; ///< The key, 32 bytes.
};

/// \brief Keys that may sign a bundle and the required number of signatures.
struct sign_off_policy
{
    std::vector<approver_key> approvers;
    std::uint32_t required = 0; ///< 0 accepts a bundle without signatures.
};

/// \returns The public key in the PEM text, or `config_invalid`.
[[nodiscard]] result<approver_key> parse_approver_key(std::string_view pem);

/// \brief Reads the key files of `configured`.
///
/// \returns The policy, or an error with the file's name. The same key in two
/// files is an error.
[[nodiscard]] result<sign_off_policy>
load_sign_off(const sign_off_settings& configured);

/// \brief Checks that the required number of distinct approvers signed `root`.
///
/// \returns Nothing, or `signature_invalid` with the number of valid
/// signatures.
[[nodiscard]] result<void>
check_sign_off(const manifest& root, const sign_off_policy& policy);

/// \brief An Ed25519 key pair as PEM text.
struct key_pair
{
    std::string private_pem;
    std::string public_pem;
};

/// \returns A new key pair, or `internal` if OpenSSL fails.
[[nodiscard]] result<key_pair> make_key_pair();

/// \brief Signs `root` with an Ed25519 private key in PEM text and adds the
/// signature, replacing an earlier one by the same key.
///
/// \returns The id of the key, or `config_invalid` if the key is unusable.
[[nodiscard]] result<std::string>
sign_manifest(manifest& root, std::string_view private_pem);

} // namespace peridotward
