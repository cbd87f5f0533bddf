#include "../cbor_reader.hpp"
#include "../cbor_writer.hpp"
#include "../frame_error.hpp"
#include "handshake.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>

namespace peridotward {

namespace {

constexpr std::size_t hello_members = 3;
constexpr std::size_t challenge_members = 4;
constexpr std::size_t max_instance_id_bytes = 256;

std::string hmac_sha256(std::string_view key, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
    unsigned int size = 0;
    HMAC(
        EVP_sha256(),
        key.data(),
        static_cast<int>(key.size()),
        reinterpret_cast<const unsigned char*>(text.data()),
        text.size(),
        mac.data(),
        &size);
    return {reinterpret_cast<const char*>(mac.data()), size};
}

void write_hello(cbor_writer& out, const link_hello& hello)
{
    out.bytes(hello.instance_id);
    out.unsigned_number(hello.incarnation);
    out.bytes(hello.nonce);
}

link_hello read_hello(cbor_reader& in)
{
    link_hello hello;
    hello.instance_id = in.bytes();
    hello.incarnation = in.unsigned_number();
    hello.nonce = in.bytes();
    if (hello.instance_id.empty() ||
        hello.instance_id.size() > max_instance_id_bytes)
        throw frame_error{
            "instance id has " + std::to_string(hello.instance_id.size()) +
            " bytes, expected 1 to 256"};
    if (hello.nonce.size() != nonce_bytes)
        throw frame_error{
            "nonce has " + std::to_string(hello.nonce.size()) +
            " bytes, expected 32"};
    return hello;
}

void expect(bool condition, const char* description)
{
    if (!condition)
        throw frame_error{std::string{"expected "} + description};
}

} // namespace

std::string encode_hello(const link_hello& hello)
{
    std::string frame;
    cbor_writer out{frame};
    out.array(hello_members);
    write_hello(out, hello);
    return frame;
}

link_hello decode_hello(std::string_view frame)
{
    cbor_reader in{frame};
    expect(in.array() == hello_members, "a hello of 3 members");
    auto hello = read_hello(in);
    expect(in.at_end(), "no bytes after the hello");
    return hello;
}

std::string encode_challenge(const link_challenge& challenge)
{
    std::string frame;
    cbor_writer out{frame};
    out.array(challenge_members);
    write_hello(out, challenge.hello);
    out.bytes(challenge.proof);
    return frame;
}

link_challenge decode_challenge(std::string_view frame)
{
    cbor_reader in{frame};
    link_challenge challenge;
    expect(in.array() == challenge_members, "a challenge of 4 members");
    challenge.hello = read_hello(in);
    challenge.proof = in.bytes();
    expect(in.at_end(), "no bytes after the challenge");
    return challenge;
}

std::string make_nonce()
{
    std::array<unsigned char, nonce_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw std::runtime_error{
            "OpenSSL RAND_bytes failed to generate a nonce"};
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

bool equal_constant_time(
    std::string_view expected, std::string_view found) noexcept
{
    return expected.size() == found.size() &&
           CRYPTO_memcmp(expected.data(), found.data(), found.size()) == 0;
}

link_proofs::link_proofs(
    std::string_view key,
    const link_hello& connector_hello,
    const link_hello& listener_hello)
    : key_{key}
{
    cbor_writer out{transcript_};
    write_hello(out, connector_hello);
    write_hello(out, listener_hello);
}

std::string link_proofs::listener_proof() const
{
    return derive("peridotward link 1 listener");
}

std::string link_proofs::connector_proof() const
{
    return derive("peridotward link 1 connector");
}

std::string link_proofs::frame_key() const
{
    return derive("peridotward link 1 frames");
}

std::string link_proofs::derive(std::string_view label) const
{
    std::string text;
    cbor_writer out{text};
    out.bytes(label);
    return hmac_sha256(key_, text + transcript_);
}

std::string frame_authenticator::add_mac(std::string_view payload)
{
    auto frame = compute_mac(payload);
    frame.append(payload);
    ++frame_count_;
    return frame;
}

std::optional<std::string_view>
frame_authenticator::verify_mac(std::string_view frame)
{
    if (frame.size() < frame_mac_bytes)
        return std::nullopt;
    const auto payload = frame.substr(frame_mac_bytes);
    if (!equal_constant_time(
            compute_mac(payload), frame.substr(0, frame_mac_bytes)))
        return std::nullopt;
    ++frame_count_;
    return payload;
}

std::string frame_authenticator::compute_mac(std::string_view payload) const
{
    std::string text;
    text.reserve(sizeof(frame_count_) + 1 + payload.size());
    cbor_writer out{text};
    out.unsigned_number(frame_count_);
    text.append(payload);
    auto mac = hmac_sha256(key_, text);
    mac.resize(frame_mac_bytes);
    return mac;
}

} // namespace peridotward
