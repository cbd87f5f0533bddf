#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotward {

/// What one side says of itself when a connection opens.
struct link_hello
{
    std::string instance_id;
    std::uint64_t incarnation = 0;
    std::string nonce; ///< Fresh random bytes of this connection.
};

/// A hello and the proof that its sender has the key; the answer to a hello.
struct link_challenge
{
    link_hello hello;
    std::string proof;
};

inline constexpr std::size_t nonce_bytes = 32;
inline constexpr std::size_t proof_bytes = 32;
inline constexpr std::size_t frame_mac_bytes = 16;

/// Each throws frame_error when the bytes are not what they should be.
[[nodiscard]] std::string encode_hello(const link_hello& hello);
[[nodiscard]] link_hello decode_hello(std::string_view frame);
[[nodiscard]] std::string encode_challenge(const link_challenge& challenge);
[[nodiscard]] link_challenge decode_challenge(std::string_view frame);

/// \returns Fresh bytes from the generator of OpenSSL.
[[nodiscard]] std::string make_nonce();

/// \returns Whether both are equal; takes the same time wherever they differ.
[[nodiscard]] bool
same_proof(std::string_view expected, std::string_view found) noexcept;

/// The proofs of one connection. They cover the seats, incarnations and nonces
/// of both sides, so none is of use on another connection or direction.
class link_proofs
{
public:
    link_proofs(
        std::string_view key,
        const link_hello& connecting,
        const link_hello& listening);

    [[nodiscard]] std::string of_listener() const;
    [[nodiscard]] std::string of_connector() const;

    /// \returns The key for the frames of this connection.
    [[nodiscard]] std::string frame_key() const;

private:
    [[nodiscard]] std::string prove(std::string_view label) const;

    std::string key_;
    std::string transcript_;
};

/// Authenticates the frames of one connection in their order.
///
/// Both sides count frames; the count goes into the code and not over the
/// wire, so a frame that is lost, repeated, reordered or taken from another
/// connection does not verify.
class frame_sealer
{
public:
    explicit frame_sealer(std::string key) : key_{std::move(key)} {}

    /// \returns The code followed by `payload`.
    [[nodiscard]] std::string seal(std::string_view payload);

    /// \returns The payload, or nothing when the code is wrong.
    [[nodiscard]] std::optional<std::string_view> open(std::string_view frame);

private:
    [[nodiscard]] std::string code_of(std::string_view payload) const;

    std::string key_;
    std::uint64_t count_ = 0;
};

} // namespace peridotward
