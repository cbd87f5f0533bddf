#include "../cbor_reader.hpp"
#include "../cbor_writer.hpp"
#include "../frame_error.hpp"
#include "admission.hpp"

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
    std::array<unsigned char, EVP_MAX_MD_SIZE> code{};
    unsigned int size = 0;
    HMAC(
        EVP_sha256(),
        key.data(),
        static_cast<int>(key.size()),
        reinterpret_cast<const unsigned char*>(text.data()),
        text.size(),
        code.data(),
        &size);
    return {reinterpret_cast<const char*>(code.data()), size};
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
            "a seat of " + std::to_string(hello.instance_id.size()) + " bytes"};
    if (hello.nonce.size() != nonce_bytes)
        throw frame_error{
            "a nonce of " + std::to_string(hello.nonce.size()) + " bytes"};
    return hello;
}

void expect(bool holds, const char* wanted)
{
    if (!holds)
        throw frame_error{std::string{"expected "} + wanted};
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
    expect(in.array() == hello_members, "a hello");
    auto hello = read_hello(in);
    expect(in.at_end(), "nothing after a hello");
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
    expect(in.array() == challenge_members, "a challenge");
    challenge.hello = read_hello(in);
    challenge.proof = in.bytes();
    expect(in.at_end(), "nothing after a challenge");
    return challenge;
}

std::string make_nonce()
{
    std::array<unsigned char, nonce_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw std::runtime_error{"no random bytes for a nonce"};
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

bool same_proof(std::string_view expected, std::string_view found) noexcept
{
    return expected.size() == found.size() &&
           CRYPTO_memcmp(expected.data(), found.data(), found.size()) == 0;
}

link_proofs::link_proofs(
    std::string_view key,
    const link_hello& connecting,
    const link_hello& listening)
    : key_{key}
{
    cbor_writer out{transcript_};
    write_hello(out, connecting);
    write_hello(out, listening);
}

std::string link_proofs::of_listener() const
{
    return prove("peridotward link 1 listener");
}

std::string link_proofs::of_connector() const
{
    return prove("peridotward link 1 connector");
}

std::string link_proofs::frame_key() const
{
    return prove("peridotward link 1 frames");
}

std::string link_proofs::prove(std::string_view label) const
{
    std::string text;
    cbor_writer out{text};
    out.bytes(label);
    return hmac_sha256(key_, text + transcript_);
}

std::string frame_sealer::seal(std::string_view payload)
{
    auto frame = code_of(payload);
    frame.append(payload);
    ++count_;
    return frame;
}

std::optional<std::string_view> frame_sealer::open(std::string_view frame)
{
    if (frame.size() < frame_mac_bytes)
        return std::nullopt;
    const auto payload = frame.substr(frame_mac_bytes);
    if (!same_proof(code_of(payload), frame.substr(0, frame_mac_bytes)))
        return std::nullopt;
    ++count_;
    return payload;
}

std::string frame_sealer::code_of(std::string_view payload) const
{
    std::string text;
    text.reserve(sizeof(count_) + 1 + payload.size());
    cbor_writer out{text};
    out.unsigned_number(count_);
    text.append(payload);
    auto code = hmac_sha256(key_, text);
    code.resize(frame_mac_bytes);
    return code;
}

} // namespace peridotward
