#include <peridotward/config/sha256.hpp>
#include <peridotward/config/sign_off.hpp>

#include <openssl/bio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>

#include <algorithm>
#include <array>
#include <memory>
#include <set>

namespace peridotward {

namespace {

constexpr std::size_t raw_key_bytes = 32;
constexpr std::size_t signature_bytes = 64;
constexpr std::size_t key_id_digits = 16;

struct openssl_deleter
{
    void operator()(BIO* value) const noexcept { BIO_free(value); }
    void operator()(EVP_PKEY* value) const noexcept { EVP_PKEY_free(value); }
    void operator()(EVP_MD_CTX* value) const noexcept
    {
        EVP_MD_CTX_free(value);
    }
};

using bio_ptr = std::unique_ptr<BIO, openssl_deleter>;
using key_ptr = std::unique_ptr<EVP_PKEY, openssl_deleter>;
using digest_ptr = std::unique_ptr<EVP_MD_CTX, openssl_deleter>;
using raw_key = std::array<unsigned char, raw_key_bytes>;
using raw_signature = std::array<unsigned char, signature_bytes>;

/// Makes OpenSSL refuse an encrypted key instead of prompting for a passphrase.
int no_passphrase(char*, int, int, void*)
{
    return -1;
}

bio_ptr reader_of(std::string_view text)
{
    return bio_ptr{BIO_new_mem_buf(text.data(), static_cast<int>(text.size()))};
}

std::string contents_of(BIO* memory)
{
    char* start = nullptr;
    const auto size = BIO_get_mem_data(memory, &start);
    return {start, static_cast<std::size_t>(size)};
}

result<approver_key> extract_public_key(EVP_PKEY* key)
{
    raw_key raw{};
    std::size_t size = raw.size();
    if (key == nullptr || EVP_PKEY_id(key) != EVP_PKEY_ED25519 ||
        EVP_PKEY_get_raw_public_key(key, raw.data(), &size) != 1)
        return fail(
            error_kind::config_invalid, "expected an Ed25519 key in PEM form");
    approver_key public_key;
    public_key.raw.assign(raw.begin(), raw.end());
    public_key.id = sha256_hex(public_key.raw).substr(0, key_id_digits);
    return public_key;
}

std::string to_hex(const raw_signature& bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const auto byte : bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

unsigned char nibble(char digit)
{
    return static_cast<unsigned char>(
        digit <= '9' ? digit - '0' : digit - 'a' + 10);
}

/// Decodes hexadecimal digits that `parse_manifest` has checked.
raw_signature from_hex(std::string_view text)
{
    raw_signature bytes{};
    for (std::size_t i = 0; i < bytes.size() && 2 * i + 1 < text.size(); ++i)
        bytes[i] = static_cast<unsigned char>(
            (nibble(text[2 * i]) << 4U) | nibble(text[2 * i + 1]));
    return bytes;
}

/// Returns the signed message; its prefix prevents reuse of signatures that the
/// same key made for other purposes.
std::string signed_bytes(const manifest& root)
{
    return "peridotward bundle " + signing_digest(root);
}

const unsigned char* bytes_of(const std::string& text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

bool verify(
    const approver_key& approver,
    const std::string& message,
    const raw_signature& signature)
{
    const key_ptr key{EVP_PKEY_new_raw_public_key(
        EVP_PKEY_ED25519,
        nullptr,
        bytes_of(approver.raw),
        approver.raw.size())};
    const digest_ptr context{EVP_MD_CTX_new()};
    return key && context &&
           EVP_DigestVerifyInit(
               context.get(), nullptr, nullptr, nullptr, key.get()) == 1 &&
           EVP_DigestVerify(
               context.get(),
               signature.data(),
               signature.size(),
               bytes_of(message),
               message.size()) == 1;
}

} // namespace

result<approver_key> parse_approver_key(std::string_view pem)
{
    const auto memory = reader_of(pem);
    const key_ptr key{
        PEM_read_bio_PUBKEY(memory.get(), nullptr, no_passphrase, nullptr)};
    return extract_public_key(key.get());
}

result<sign_off_policy> load_sign_off(const sign_off_settings& configured)
{
    sign_off_policy policy;
    policy.required = configured.required;
    std::set<std::string> known;
    for (const auto& file : configured.key_files) {
        auto key = read_file(file).and_then(
            [](const std::string& pem) { return parse_approver_key(pem); });
        if (!key)
            return fail(
                key.error().kind,
                "sign_off: " + file + ": " + key.error().message);
        if (!known.insert(key->id).second)
            return fail(
                error_kind::config_invalid,
                "sign_off: " + file + ": the key " + key->id +
                    " appears twice");
        policy.approvers.push_back(std::move(*key));
    }
    return policy;
}

result<void> check_sign_off(const manifest& root, const sign_off_policy& policy)
{
    if (policy.required == 0)
        return {};
    const auto message = signed_bytes(root);
    std::set<std::string_view> valid;
    for (const auto& entry : root.signatures) {
        const auto approver = std::find_if(
            policy.approvers.begin(),
            policy.approvers.end(),
            [&](const approver_key& key) { return key.id == entry.key; });
        if (approver != policy.approvers.end() &&
            verify(*approver, message, from_hex(entry.signature)))
            valid.insert(approver->id);
    }
    if (valid.size() >= policy.required)
        return {};
    return fail(
        error_kind::signature_invalid,
        "version " + std::to_string(root.version) + " has " +
            std::to_string(valid.size()) +
            " valid signatures of approvers, expected " +
            std::to_string(policy.required));
}

result<key_pair> make_key_pair()
{
    const key_ptr key{EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519")};
    const bio_ptr private_bio{BIO_new(BIO_s_mem())};
    const bio_ptr public_bio{BIO_new(BIO_s_mem())};
    const bool written = key && private_bio && public_bio &&
                         PEM_write_bio_PrivateKey(
                             private_bio.get(),
                             key.get(),
                             nullptr,
                             nullptr,
                             0,
                             nullptr,
                             nullptr) == 1 &&
                         PEM_write_bio_PUBKEY(public_bio.get(), key.get()) == 1;
    if (!written)
        return fail(
            error_kind::internal, "cannot generate an Ed25519 key pair");
    return key_pair{
        contents_of(private_bio.get()), contents_of(public_bio.get())};
}

result<std::string> sign_manifest(manifest& root, std::string_view private_pem)
{
    const auto memory = reader_of(private_pem);
    const key_ptr key{
        PEM_read_bio_PrivateKey(memory.get(), nullptr, no_passphrase, nullptr)};
    const auto public_key = extract_public_key(key.get());
    if (!public_key)
        return tl::unexpected{public_key.error()};
    const auto message = signed_bytes(root);
    raw_signature signature{};
    std::size_t size = signature.size();
    const digest_ptr context{EVP_MD_CTX_new()};
    const bool signed_ok =
        context &&
        EVP_DigestSignInit(
            context.get(), nullptr, nullptr, nullptr, key.get()) == 1 &&
        EVP_DigestSign(
            context.get(),
            signature.data(),
            &size,
            bytes_of(message),
            message.size()) == 1;
    if (!signed_ok)
        return fail(error_kind::internal, "cannot sign with the private key");
    std::erase_if(root.signatures, [&](const manifest_signature& entry) {
        return entry.key == public_key->id;
    });
    root.signatures.push_back({public_key->id, to_hex(signature)});
    return public_key->id;
}

} // namespace peridotward
