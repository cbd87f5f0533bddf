#pragma once

#include <peridotward/core/admission/memory_budget.hpp>

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief Header fields in the order and case in which they were received,
/// with duplicates.
class field_list
{
public:
    struct field_view
    {
        std::string_view name;
        std::string_view value;
    };

    void clear() noexcept;
    void add(std::string_view name, std::string_view value);

    [[nodiscard]] std::size_t size() const noexcept { return spans_.size(); }
    [[nodiscard]] field_view at(std::size_t position) const;

    /// \returns The value of the first field named `name` (case-insensitive).
    [[nodiscard]] std::optional<std::string_view>
    find(std::string_view name) const;

private:
    struct span
    {
        std::uint32_t name_begin;
        std::uint32_t value_begin;
        std::uint32_t end;
    };

    std::string text_;
    std::vector<span> spans_;
};

/// \returns Whether `a` and `b` are equal when the case of ASCII letters is
/// ignored.
[[nodiscard]] bool
equals_ignoring_case(std::string_view a, std::string_view b) noexcept;

/// \brief One complete request of a caller.
struct request_message
{
    std::string method;
    std::string target;
    field_list fields;
    std::string body;
    bool has_length = false; ///< Had Content-Length or chunked coding.
    bool keep_alive = true;
};

/// \brief One complete answer of a server.
struct response_message
{
    std::uint32_t status = 0;
    std::string reason;
    field_list fields;
    std::string body;
    std::vector<memory_claim> memory; ///< For a large `body`.
    bool keep_alive = true;
};

/// \brief State of reading a message.
enum class read_state : std::uint8_t
{
    incomplete, ///< The message needs more bytes.
    complete,   ///< One whole message was read.
    invalid,    ///< The bytes are no valid message.
    header_too_large,
    body_too_large,
};

/// \brief Size of a message that is being read, and its limits.
struct message_size
{
    std::size_t max_head_bytes = 0; ///< Also of a chunk's line and a trailer.
    std::size_t max_body_bytes = 0;
    /// Of a body whose length the head doesn't state.
    std::size_t max_unsized_bytes = std::numeric_limits<std::size_t>::max();
    std::size_t consumed = 0;
};

/// \brief Incremental parser of one request.
class request_reader final : public boost::beast::http::basic_parser<true>
{
public:
    request_reader(
        request_message& message,
        std::size_t max_header_bytes,
        std::size_t max_body_bytes);

    /// \brief Parses bytes from the front of `input` and erases them; bytes
    /// after the end of the message stay in `input`.
    [[nodiscard]] read_state consume(std::string& input);

    /// \returns The size of the whole body, or of the largest accepted one if
    /// the head hasn't stated it.
    [[nodiscard]] std::size_t expected_body_bytes();

private:
    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;

    void on_request_impl(
        boost::beast::http::verb,
        string_view method,
        string_view target,
        int version,
        error_code&) override;
    void on_response_impl(int, string_view, int, error_code&) override {}
    void on_field_impl(
        boost::beast::http::field field_id,
        string_view name,
        string_view value,
        error_code&) override;
    void on_header_impl(error_code&) override;
    void on_body_init_impl(
        const boost::optional<std::uint64_t>&, error_code&) override
    {}
    std::size_t on_body_impl(string_view body, error_code&) override;
    void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override
    {}
    std::size_t
    on_chunk_body_impl(std::uint64_t, string_view body, error_code&) override;
    void on_finish_impl(error_code&) override {}

    request_message* message_;
    message_size size_;
};

/// \brief Incremental parser of one head of an answer and the body after it.
class response_parser final : public boost::beast::http::basic_parser<false>
{
public:
    response_parser(
        response_message& message, const message_size& limits, bool bodiless);

    /// \brief Parses bytes from the front of `input` and erases them.
    [[nodiscard]] read_state consume(std::string& input);

    /// \returns The size of the whole body, if the head has stated it.
    [[nodiscard]] std::optional<std::size_t> stated_body_bytes();

    /// \returns The size of the largest body that is accepted.
    [[nodiscard]] std::size_t max_body_bytes() const noexcept
    {
        return size_.max_body_bytes;
    }

    /// \brief Handles the orderly end of the connection.
    [[nodiscard]] read_state consume_end();

private:
    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;

    void on_request_impl(
        boost::beast::http::verb,
        string_view,
        string_view,
        int,
        error_code&) override
    {}
    void on_response_impl(
        int status,
        string_view reason,
        int version,
        error_code& error) override;
    void on_field_impl(
        boost::beast::http::field field_id,
        string_view name,
        string_view value,
        error_code&) override;
    void on_header_impl(error_code&) override;
    void on_body_init_impl(
        const boost::optional<std::uint64_t>&, error_code&) override
    {}
    std::size_t on_body_impl(string_view body, error_code&) override;
    void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override
    {}
    std::size_t
    on_chunk_body_impl(std::uint64_t, string_view body, error_code&) override;
    void on_finish_impl(error_code&) override {}

    response_message* message_;
    message_size size_;
};

/// \brief Reads one final answer. Interim answers before it (1xx) are
/// discarded; a status outside 200 to 599, and 101, since no request asks for
/// another protocol, make the answer invalid.
class response_reader
{
public:
    /// Max size of the status line and the fields, and of all interim answers.
    static constexpr std::uint32_t max_header_bytes = 8192;
    /// Usual max size of a body whose length the head doesn't state.
    static constexpr std::size_t max_unsized_body_bytes = 4U << 20U;

    /// \param bodiless Whether the answer belongs to a HEAD request.
    /// \param max_unsized Max size of a body whose length the head doesn't
    /// state.
    response_reader(
        response_message& message,
        std::size_t max_body_bytes,
        bool bodiless,
        std::size_t max_unsized = max_unsized_body_bytes);

    /// \brief Parses bytes from the front of `input` and erases them; bytes
    /// after the end of the message stay in `input`.
    [[nodiscard]] read_state consume(std::string& input);

    /// \returns The size of the whole body, if the head has stated it.
    [[nodiscard]] std::optional<std::size_t> stated_body_bytes()
    {
        return parser_->stated_body_bytes();
    }

    /// \returns The size of the largest body that is accepted.
    [[nodiscard]] std::size_t max_body_bytes() const noexcept
    {
        return parser_->max_body_bytes();
    }

    /// \brief Handles the orderly end of the connection.
    /// \returns `complete` if the end of the connection ends the answer, else
    /// `invalid`.
    [[nodiscard]] read_state consume_end() { return parser_->consume_end(); }

private:
    response_message* message_;
    message_size limits_;
    bool bodiless_;
    std::optional<response_parser> parser_; ///< Always set.
    std::size_t consumed_ = 0;              ///< Bytes up to the final answer.
};

} // namespace peridotward
