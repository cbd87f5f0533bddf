#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotward {

/// Identifies one side of a connection; the first frame that the connecting
/// side sends.
struct link_hello
{
    std::string instance_id;
    std::uint64_t incarnation = 0;
    std::string nonce; ///< Random bytes, new for each connection.
};

/// The listener's response to a hello: its own hello and the proof that it has
/// the shared key.
struct link_challenge
{
    link_hello hello;
    std::string proof;
};

inline constexpr std::size_t nonce_bytes = 32;
inline constexpr std::size_t proof_bytes = 32;
inline constexpr std::size_t frame_mac_bytes = 16;

/// The decode functions throw frame_error if the frame is invalid.
[[nodiscard]] std::string encode_hello(const link_hello& hello);
[[nodiscard]] link_hello decode_hello(std::string_view frame);
[[nodiscard]] std::string encode_challenge(const link_challenge& challenge);
[[nodiscard]] link_challenge decode_challenge(std::string_view frame);

/// \returns Random bytes from OpenSSL. Throws std::runtime_error if there are
/// none.
[[nodiscard]] std::string make_nonce();

/// \returns Whether both are equal. The time does not depend on the position of
/// the first difference.
[[nodiscard]] bool
equal_constant_time(std::string_view expected, std::string_view found) noexcept;

/// Computes the proofs and the frame key of one connection. They depend on the
/// instance ids, incarnations and nonces of both sides, so they are invalid for
/// another connection or direction.
class link_proofs
{
public:
    link_proofs(
        std::string_view key,
        const link_hello& connector_hello,
        const link_hello& listener_hello);

    [[nodiscard]] std::string listener_proof() const;
    [[nodiscard]] std::string connector_proof() const;

    /// \returns The key that authenticates the frames of this connection.
    [[nodiscard]] std::string frame_key() const;

private:
    [[nodiscard]] std::string derive(std::string_view label) const;

    std::string key_;
    std::string transcript_;
};

/// Adds and verifies the message authentication codes (MACs) of the frames of
/// one connection.
///
/// Both sides count frames. The MAC covers the count, which is not sent, so the
/// verification fails for a frame that is replayed, reordered, taken from
/// another connection, or preceded by a lost one.
class frame_authenticator
{
public:
    explicit frame_authenticator(std::string key) : key_{std::move(key)} {}

    /// \returns The MAC followed by `payload`.
    [[nodiscard]] std::string add_mac(std::string_view payload);

    /// \returns The payload, or nothing if the MAC is wrong.
    [[nodiscard]] std::optional<std::string_view>
    verify_mac(std::string_view frame);

private:
    [[nodiscard]] std::string compute_mac(std::string_view payload) const;

    std::string key_;
    std::uint64_t frame_count_ = 0;
};

} // namespace peridotward
