#include <peridotward/gateway/http_reader.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <limits>

namespace peridotward {

namespace {

namespace http = boost::beast::http;

std::string_view to_std(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

constexpr int switching_protocols = 101;

/// \returns Whether another answer to the same request follows one with this
/// status.
bool is_interim(std::uint32_t status) noexcept
{
    return status < 200;
}

char to_lower(char letter) noexcept
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32)
                                          : letter;
}

read_state state_of(boost::beast::error_code error)
{
    if (error == http::error::header_limit)
        return read_state::header_too_large;
    if (error == http::error::body_limit)
        return read_state::body_too_large;
    return read_state::invalid;
}

template<class Parser>
read_state parse_input(Parser& parser, message_size& size, std::string& input)
{
    std::size_t consumed = 0;
    boost::beast::error_code error;
    while (consumed < input.size() && !parser.is_done()) {
        const auto parsed = parser.put(
            boost::asio::const_buffer{
                input.data() + consumed, input.size() - consumed},
            error);
        consumed += parsed;
        if (error == http::error::need_more) {
            error = {};
            break;
        }
        if (error || parsed == 0)
            break;
    }
    input.erase(0, consumed);
    if (error)
        return state_of(error);
    if (parser.is_done())
        return read_state::complete;
    size.consumed += consumed;
    // The parser limits neither the line of a chunk nor a trailer, of which it
    // consumes nothing before the end.
    if (input.size() > size.max_head_bytes)
        return read_state::header_too_large;
    // Bytes around chunks may be as many as those in them.
    if (size.consumed > size.max_head_bytes + 2 * size.max_body_bytes)
        return read_state::body_too_large;
    return read_state::incomplete;
}

} // namespace

bool equals_ignoring_case(std::string_view a, std::string_view b) noexcept
{
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return to_lower(x) == to_lower(y);
           });
}

void field_list::clear() noexcept
{
    text_.clear();
    spans_.clear();
}

void field_list::add(std::string_view name, std::string_view value)
{
    const auto name_begin = static_cast<std::uint32_t>(text_.size());
    text_ += name;
    const auto value_begin = static_cast<std::uint32_t>(text_.size());
    text_ += value;
    spans_.push_back(
        {name_begin, value_begin, static_cast<std::uint32_t>(text_.size())});
}

field_list::field_view field_list::at(std::size_t position) const
{
    const auto& bounds = spans_[position];
    const std::string_view all{text_};
    return {
        all.substr(bounds.name_begin, bounds.value_begin - bounds.name_begin),
        all.substr(bounds.value_begin, bounds.end - bounds.value_begin)};
}

std::optional<std::string_view> field_list::find(std::string_view name) const
{
    for (std::size_t i = 0; i < spans_.size(); ++i) {
        const auto field = at(i);
        if (equals_ignoring_case(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

request_reader::request_reader(
    request_message& message,
    std::size_t max_header_bytes,
    std::size_t max_body_bytes)
    : message_{&message}, size_{max_header_bytes, max_body_bytes}
{
    message.method.clear();
    message.target.clear();
    message.fields.clear();
    message.body.clear();
    message.has_length = false;
    header_limit(static_cast<std::uint32_t>(max_header_bytes));
    body_limit(max_body_bytes);
    eager(true);
}

read_state request_reader::consume(std::string& input)
{
    return parse_input(*this, size_, input);
}

std::size_t request_reader::expected_body_bytes()
{
    return is_header_done() && content_length()
               ? static_cast<std::size_t>(*content_length())
               : size_.max_body_bytes;
}

void request_reader::on_request_impl(
    http::verb, string_view method, string_view target, int, error_code&)
{
    message_->method = to_std(method);
    message_->target = to_std(target);
}

void request_reader::on_field_impl(
    http::field field_id,
    string_view name,
    string_view value,
    error_code& error)
{
    // With any other coding the end of the body is ambiguous: the gateway and
    // an upstream could frame the request differently (request smuggling).
    if (field_id == http::field::transfer_encoding &&
        !equals_ignoring_case(to_std(value), "chunked"))
        error = http::make_error_code(http::error::bad_transfer_encoding);
    message_->fields.add(to_std(name), to_std(value));
}

void request_reader::on_header_impl(error_code&)
{
    message_->keep_alive = keep_alive();
    message_->has_length = chunked() || content_length().has_value();
}

std::size_t request_reader::on_body_impl(string_view body, error_code&)
{
    message_->body += to_std(body);
    return body.size();
}

std::size_t
request_reader::on_chunk_body_impl(std::uint64_t, string_view body, error_code&)
{
    message_->body += to_std(body);
    return body.size();
}

response_reader::response_reader(
    response_message& message,
    std::size_t max_body_bytes,
    bool bodiless,
    std::size_t max_unsized)
    : message_{&message},
      limits_{max_header_bytes, max_body_bytes, max_unsized},
      bodiless_{bodiless}
{
    parser_.emplace(message, limits_, bodiless);
}

read_state response_reader::consume(std::string& input)
{
    while (true) {
        const auto unread = input.size();
        const auto state = parser_->consume(input);
        consumed_ += unread - input.size();
        if (state != read_state::complete || !is_interim(message_->status))
            return state;
        if (consumed_ > max_header_bytes)
            return read_state::header_too_large;
        parser_.emplace(*message_, limits_, bodiless_);
        if (input.empty())
            return read_state::incomplete;
    }
}

response_parser::response_parser(
    response_message& message, const message_size& limits, bool bodiless)
    : message_{&message}, size_{limits}
{
    message.status = 0;
    message.reason.clear();
    message.fields.clear();
    message.body.clear();
    message.memory.clear();
    header_limit(static_cast<std::uint32_t>(limits.max_head_bytes));
    body_limit(limits.max_body_bytes);
    eager(true);
    skip(bodiless);
}

read_state response_parser::consume(std::string& input)
{
    return parse_input(*this, size_, input);
}

std::optional<std::size_t> response_parser::stated_body_bytes()
{
    if (!is_header_done() || !content_length())
        return std::nullopt;
    return static_cast<std::size_t>(*content_length());
}

read_state response_parser::consume_end()
{
    if (!got_some() || !is_header_done())
        return read_state::invalid;
    boost::beast::error_code error;
    put_eof(error);
    return !error && is_done() ? read_state::complete : read_state::invalid;
}

void response_parser::on_response_impl(
    int status, string_view reason, int, error_code& error)
{
    if (status == switching_protocols || status < 100 || status > 599)
        error = http::make_error_code(http::error::bad_status);
    message_->status = static_cast<std::uint32_t>(status);
    message_->reason = to_std(reason);
}

void response_parser::on_field_impl(
    http::field, string_view name, string_view value, error_code&)
{
    message_->fields.add(to_std(name), to_std(value));
}

void response_parser::on_header_impl(error_code&)
{
    message_->keep_alive = keep_alive();
    if (!content_length()) {
        size_.max_body_bytes =
            std::min(size_.max_body_bytes, size_.max_unsized_bytes);
        body_limit(size_.max_body_bytes);
    }
}

std::size_t response_parser::on_body_impl(string_view body, error_code&)
{
    message_->body += to_std(body);
    return body.size();
}

std::size_t response_parser::on_chunk_body_impl(
    std::uint64_t, string_view body, error_code&)
{
    message_->body += to_std(body);
    return body.size();
}

} // namespace peridotward
