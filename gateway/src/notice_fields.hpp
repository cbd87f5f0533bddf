#pragma once

#include <peridotward/core/discovery/answer_notice.hpp>
#include <peridotward/gateway/header_names.hpp>
#include <peridotward/gateway/http_reader.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotward {

/// \returns What the fields of an answer say of the upstream that sent it. Not
/// for 421, which is the answer of another upstream.
[[nodiscard]] answer_notice
read_notice(const response_message& answer, const header_names& names);

/// \brief The upstream of a relayed answer, as the instance that asked it names
/// it.
struct named_upstream
{
    std::string id;
    std::uint64_t start_id = 0; ///< 0 if unknown.
};

/// \returns The value of the field `relayed_upstream`.
[[nodiscard]] std::string name_upstream(const named_upstream& upstream);

/// \returns The upstream that the field names; nothing without a valid field.
[[nodiscard]] std::optional<named_upstream>
read_upstream(const response_message& answer, const header_names& names);

} // namespace peridotward
