#include "forwarded_fields.hpp"

#include <algorithm>
#include <array>

namespace peridotward {

namespace {

constexpr std::array<std::string_view, 9> connection_fields{
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length"};

bool list_contains(std::string_view list, std::string_view word) noexcept
{
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        auto item = list.substr(0, comma);
        while (!item.empty() && item.front() == ' ')
            item.remove_prefix(1);
        while (!item.empty() && item.back() == ' ')
            item.remove_suffix(1);
        if (equals_ignoring_case(item, word))
            return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

} // namespace

bool is_hop_by_hop(std::string_view name, std::string_view connection) noexcept
{
    const auto same = [&](std::string_view other) {
        return equals_ignoring_case(name, other);
    };
    return std::any_of(
               connection_fields.begin(), connection_fields.end(), same) ||
           (!connection.empty() && list_contains(connection, name));
}

void add_field(std::string& to, std::string_view name, std::string_view value)
{
    to += name;
    to += ": ";
    to += value;
    to += "\r\n";
}

forwarded_account account_for_upstreams(
    const forward_config& config, const client_account* account) noexcept
{
    return {
        !config.accounts.empty(),
        account == nullptr ? std::string_view{} : account->name};
}

std::string forwarded_request_head(
    const request_message& from,
    const header_names& names,
    const forwarded_account& account)
{
    std::string head = from.method + " " + from.target + " HTTP/1.1\r\n";
    const auto connection = from.fields.find("Connection").value_or("");
    for (std::size_t i = 0; i < from.fields.size(); ++i) {
        const auto field = from.fields.at(i);
        const bool replaced =
            equals_ignoring_case(field.name, names.time_left) ||
            equals_ignoring_case(field.name, names.expected_id) ||
            equals_ignoring_case(field.name, names.relayed) ||
            equals_ignoring_case(field.name, names.relayed_config) ||
            (account.used &&
             (equals_ignoring_case(field.name, names.account) ||
              equals_ignoring_case(field.name, names.credentials)));
        if (!replaced && !is_hop_by_hop(field.name, connection))
            add_field(head, field.name, field.value);
    }
    if (!account.name.empty())
        add_field(head, names.account, account.name);
    return head;
}

attempt_answer describe_answer(
    const response_message& answer,
    const header_names& names,
    attempt_receiver from)
{
    return {
        from,
        answer.status,
        answer.fields.find(names.signature).has_value(),
        answer.fields.find(names.not_run).has_value()};
}

std::string
forwarded_answer_head(const response_message& answer, const header_names& names)
{
    std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " ";
    head += answer.reason;
    head += "\r\n";
    const auto connection = answer.fields.find("Connection").value_or("");
    for (std::size_t i = 0; i < answer.fields.size(); ++i) {
        const auto field = answer.fields.at(i);
        if (!is_hop_by_hop(field.name, connection) &&
            !equals_ignoring_case(field.name, names.relayed) &&
            !equals_ignoring_case(field.name, names.relayed_upstream))
            add_field(head, field.name, field.value);
    }
    return head;
}

} // namespace peridotward
