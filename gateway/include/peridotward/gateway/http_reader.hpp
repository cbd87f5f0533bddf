#pragma once

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief Header fields as they were received: order, case and repeats stay.
class field_list
{
public:
    struct entry
    {
        std::string_view name;
        std::string_view value;
    };

    void clear() noexcept;
    void add(std::string_view name, std::string_view value);

    [[nodiscard]] std::size_t size() const noexcept { return spans_.size(); }
    [[nodiscard]] entry at(std::size_t position) const;

    /// \returns The first value of `name`, in any case, or nothing.
    [[nodiscard]] std::optional<std::string_view>
    find(std::string_view name) const;

private:
    struct span
    {
        std::uint32_t name_at;
        std::uint32_t value_at;
        std::uint32_t end;
    };

    std::string text_;
    std::vector<span> spans_;
};

/// \returns Whether the two are equal but for the case of ASCII letters.
[[nodiscard]] bool same_word(std::string_view a, std::string_view b) noexcept;

/// \brief One whole request of a caller.
struct request_message
{
    std::string method;
    std::string target;
    field_list fields;
    std::string body;
    bool has_length = false; ///< Came with a length or in chunks.
    bool keep_alive = true;
};

/// \brief One whole answer of a server.
struct response_message
{
    std::uint32_t status = 0;
    std::string reason;
    field_list fields;
    std::string body;
    bool keep_alive = true;
};

/// \brief How far a reader came.
enum class read_state : std::uint8_t
{
    more,     ///< Needs more bytes.
    complete, ///< One whole message is in.
    invalid,  ///< The bytes are no message.
    header_too_large,
    body_too_large,
};

/// \brief Reads one request from bytes.
class request_reader final : public boost::beast::http::basic_parser<true>
{
public:
    request_reader(
        request_message& into,
        std::size_t max_header_bytes,
        std::size_t max_body_bytes);

    /// \brief Takes bytes from the front of `input`.
    [[nodiscard]] read_state take(std::string& input);

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
        boost::beast::http::field known,
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

    request_message* into_;
};

/// \brief Reads one answer from bytes.
class response_reader final : public boost::beast::http::basic_parser<false>
{
public:
    /// \param bodiless The answer to a HEAD.
    response_reader(
        response_message& into, std::size_t max_body_bytes, bool bodiless);

    /// \brief Takes bytes from the front of `input`.
    [[nodiscard]] read_state take(std::string& input);

    /// \brief Takes the orderly end of the connection.
    /// \returns `complete` if the answer may end with its connection.
    [[nodiscard]] read_state take_end();

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
        int status, string_view reason, int version, error_code&) override;
    void on_field_impl(
        boost::beast::http::field known,
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

    response_message* into_;
};

} // namespace peridotward
