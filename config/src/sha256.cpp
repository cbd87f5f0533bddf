#include <peridotward/config/sha256.hpp>

#include <openssl/evp.h>

#include <array>

namespace peridotward {

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(
        bytes.data(),
        bytes.size(),
        digest.data(),
        &size,
        EVP_sha256(),
        nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(std::size_t{2} * size);
    for (unsigned int i = 0; i < size; ++i) {
        text += digits[digest[i] >> 4U];
        text += digits[digest[i] & 15U];
    }
    return text;
}

} // namespace peridotward
