#pragma once

#include <peridotward/core/gather/caller_answer.hpp>
#include <peridotward/core/routing/forward_config.hpp>
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

/// \brief Who a request is forwarded for, as upstreams are told.
struct forwarded_account
{
    /// Whether the configuration has client accounts. If so, the fields with
    /// the key and with the name of an account aren't forwarded.
    bool used = false;
    std::string_view name; ///< Empty: no account.
};

/// \returns What upstreams are told of `account`, which may be null.
[[nodiscard]] forwarded_account account_for_upstreams(
    const forward_config& config, const client_account* account) noexcept;

/// \returns The request line and the fields of a caller's request that are the
/// same for whoever it is forwarded to.
[[nodiscard]] std::string forwarded_request_head(
    const request_message& from,
    const header_names& names,
    const forwarded_account& account);

/// \returns What a final answer tells of the attempt that it belongs to.
[[nodiscard]] attempt_answer describe_answer(
    const response_message& answer,
    const header_names& names,
    attempt_receiver from);

/// \returns The status line and the fields of an answer that are forwarded to
/// the caller.
[[nodiscard]] std::string
forwarded_answer_head(const response_message& from, const header_names& names);

} // namespace peridotward
