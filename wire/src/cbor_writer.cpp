#include "cbor_writer.hpp"

#include <cbor.h>

#include <array>

namespace peridotward {

namespace {

constexpr std::size_t max_head_bytes = 9;

using head = std::array<unsigned char, max_head_bytes>;

void append_head(std::string& out, const head& bytes, std::size_t size)
{
    out.append(reinterpret_cast<const char*>(bytes.data()), size);
}

} // namespace

void cbor_writer::unsigned_number(std::uint64_t value)
{
    head buffer{};
    const auto size = cbor_encode_uint(value, buffer.data(), buffer.size());
    append_head(*out_, buffer, size);
}

void cbor_writer::boolean(bool value)
{
    head buffer{};
    const auto size = cbor_encode_bool(value, buffer.data(), buffer.size());
    append_head(*out_, buffer, size);
}

void cbor_writer::bytes(std::string_view value)
{
    head buffer{};
    const auto size = cbor_encode_bytestring_start(
        value.size(), buffer.data(), buffer.size());
    append_head(*out_, buffer, size);
    out_->append(value);
}

void cbor_writer::array(std::size_t items)
{
    head buffer{};
    const auto size =
        cbor_encode_array_start(items, buffer.data(), buffer.size());
    append_head(*out_, buffer, size);
}

} // namespace peridotward
