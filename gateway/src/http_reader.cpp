#include <peridotward/gateway/http_reader.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <limits>

namespace peridotward {

namespace {

namespace http = boost::beast::http;

std::string_view standard(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

char lower(char letter) noexcept
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
read_state feed(Parser& parser, std::string& input)
{
    std::size_t used = 0;
    boost::beast::error_code error;
    while (used < input.size() && !parser.is_done()) {
        const auto taken = parser.put(
            boost::asio::const_buffer{input.data() + used, input.size() - used},
            error);
        used += taken;
        if (error == http::error::need_more) {
            error = {};
            break;
        }
        if (error || taken == 0)
            break;
    }
    input.erase(0, used);
    if (error)
        return state_of(error);
    return parser.is_done() ? read_state::complete : read_state::more;
}

} // namespace

bool same_word(std::string_view a, std::string_view b) noexcept
{
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return lower(x) == lower(y);
           });
}

void field_list::clear() noexcept
{
    text_.clear();
    spans_.clear();
}

void field_list::add(std::string_view name, std::string_view value)
{
    const auto name_at = static_cast<std::uint32_t>(text_.size());
    text_ += name;
    const auto value_at = static_cast<std::uint32_t>(text_.size());
    text_ += value;
    spans_.push_back(
        {name_at, value_at, static_cast<std::uint32_t>(text_.size())});
}

field_list::entry field_list::at(std::size_t position) const
{
    const auto& found = spans_[position];
    const std::string_view all{text_};
    return {
        all.substr(found.name_at, found.value_at - found.name_at),
        all.substr(found.value_at, found.end - found.value_at)};
}

std::optional<std::string_view> field_list::find(std::string_view name) const
{
    for (std::size_t i = 0; i < spans_.size(); ++i) {
        const auto field = at(i);
        if (same_word(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

request_reader::request_reader(
    request_message& into,
    std::size_t max_header_bytes,
    std::size_t max_body_bytes)
    : into_{&into}
{
    into.method.clear();
    into.target.clear();
    into.fields.clear();
    into.body.clear();
    into.has_length = false;
    header_limit(static_cast<std::uint32_t>(max_header_bytes));
    body_limit(max_body_bytes);
    eager(true);
}

read_state request_reader::take(std::string& input)
{
    return feed(*this, input);
}

void request_reader::on_request_impl(
    http::verb, string_view method, string_view target, int, error_code&)
{
    into_->method = standard(method);
    into_->target = standard(target);
}

void request_reader::on_field_impl(
    http::field known, string_view name, string_view value, error_code& error)
{
    // Any other coding would leave the end of the body to guesswork, on which
    // this side and an upstream may disagree.
    if (known == http::field::transfer_encoding &&
        !same_word(standard(value), "chunked"))
        error = http::make_error_code(http::error::bad_transfer_encoding);
    into_->fields.add(standard(name), standard(value));
}

void request_reader::on_header_impl(error_code&)
{
    into_->keep_alive = keep_alive();
    into_->has_length = chunked() || content_length().has_value();
}

std::size_t request_reader::on_body_impl(string_view body, error_code&)
{
    into_->body += standard(body);
    return body.size();
}

std::size_t
request_reader::on_chunk_body_impl(std::uint64_t, string_view body, error_code&)
{
    into_->body += standard(body);
    return body.size();
}

response_reader::response_reader(
    response_message& into, std::size_t max_body_bytes, bool bodiless)
    : into_{&into}
{
    into.status = 0;
    into.reason.clear();
    into.fields.clear();
    into.body.clear();
    body_limit(max_body_bytes);
    eager(true);
    skip(bodiless);
}

read_state response_reader::take(std::string& input)
{
    return feed(*this, input);
}

read_state response_reader::take_end()
{
    if (!got_some() || !is_header_done())
        return read_state::invalid;
    boost::beast::error_code error;
    put_eof(error);
    return !error && is_done() ? read_state::complete : read_state::invalid;
}

void response_reader::on_response_impl(
    int status, string_view reason, int, error_code&)
{
    into_->status = static_cast<std::uint32_t>(status);
    into_->reason = standard(reason);
}

void response_reader::on_field_impl(
    http::field, string_view name, string_view value, error_code&)
{
    into_->fields.add(standard(name), standard(value));
}

void response_reader::on_header_impl(error_code&)
{
    into_->keep_alive = keep_alive();
}

std::size_t response_reader::on_body_impl(string_view body, error_code&)
{
    into_->body += standard(body);
    return body.size();
}

std::size_t response_reader::on_chunk_body_impl(
    std::uint64_t, string_view body, error_code&)
{
    into_->body += standard(body);
    return body.size();
}

} // namespace peridotward
