#pragma once

#include <peridotward/gateway/header_names.hpp>
#include <peridotward/gateway/http_reader.hpp>

#include <string>
#include <string_view>

namespace peridotward {

/// \returns Whether a header field is hop-by-hop and so isn't forwarded.
/// \param connection The value of the message's Connection field.
[[nodiscard]] bool
is_hop_by_hop(std::string_view name, std::string_view connection) noexcept;

/// \brief Appends a field and its line end.
void add_field(std::string& to, std::string_view name, std::string_view value);

/// \returns The request line and the fields of a caller's request that are the
/// same for whoever it is forwarded to.
[[nodiscard]] std::string
forwarded_request_head(const request_message& from, const header_names& names);

/// \returns The status line and the fields of an answer that are forwarded to
/// the caller.
[[nodiscard]] std::string
forwarded_answer_head(const response_message& from, const header_names& names);

} // namespace peridotward
