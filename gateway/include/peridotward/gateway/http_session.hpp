#pragma once

#include <peridotward/core/routing/forward_config.hpp>
#include <peridotward/gateway/http_reader.hpp>
#include <peridotward/gateway/reactor.hpp>
#include <peridotward/gateway/request_state.hpp>
#include <peridotward/gateway/socket.hpp>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

class http_session;

/// \brief Handles the requests that arrive on a listener.
class http_handler
{
public:
    /// \brief Handles a complete request, which `session.respond` answers
    /// during the call or later. The message stays valid until the answer.
    virtual void on_request(http_session& session) = 0;

    /// \brief Called when the connection ended before the answer, whichever
    /// side ended it.
    virtual void on_caller_disconnect(http_session&) {}

    /// \returns Size limits of requests and timeouts of connections.
    [[nodiscard]] virtual caller_limits limits() const = 0;

    /// \returns What the head of a request may have beyond the limit.
    [[nodiscard]] virtual std::size_t
    extra_head_bytes(const http_session&) const
    {
        return 0;
    }

    /// \returns The memory of large requests, or null if it isn't limited.
    [[nodiscard]] virtual memory_budget* request_memory() { return nullptr; }

    /// \returns Whether connections are closed after each answer.
    [[nodiscard]] virtual bool closing() const { return false; }

protected:
    ~http_handler() = default;
};

/// \brief Server side of one HTTP/1.1 connection; one request at a time: the
/// next one is parsed when the caller has taken the answer.
class http_session final
    : public io_handler,
      public boost::
          intrusive_ref_counter<http_session, boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    /// Max bytes per read, and max buffered bytes of pipelined requests.
    static constexpr std::size_t read_bytes = 16384;
    /// Max time for which a connection that was closed for writing is drained,
    /// so that the caller can read the answer.
    static constexpr milliseconds linger_time{1000};
    /// Max time in which a caller takes nothing of its answer.
    static constexpr milliseconds write_timeout{10000};
    /// Time without a request after which a connection counts as idle at a
    /// stop: the request of a caller that has just connected is on its way.
    static constexpr milliseconds min_idle_time{200};
    /// Copies of a large request's body that are held at the same time: of the
    /// session, of the work on the request, and in the output to an upstream.
    static constexpr std::size_t body_copies = 3;

    http_session(
        reactor& loop, accepted_connection accepted, http_handler& handler);
    ~http_session();

    void start();

    /// \brief Sends the answer to the current request; ignored when there is
    /// none.
    /// \param head Status line and header fields, each with its line end;
    /// Content-Length, Connection and the empty line are added.
    void respond(std::string_view head, std::string_view body);

    /// \brief Sends the answer to the current request, and holds `memory` until
    /// the caller has taken it.
    void respond(
        std::string_view head,
        std::string&& body,
        std::vector<memory_claim> memory);

    /// \brief Sends an answer with a status and a content type only.
    void respond(
        std::uint32_t status,
        std::string_view content_type,
        std::string_view body);

    /// \brief Enforces the idle, header and lingering timeouts.
    void check(time_point now);

    /// \brief Closes the connection if no request is open.
    void close_if_idle();

    [[nodiscard]] const request_message& request() const noexcept
    {
        return request_;
    }
    [[nodiscard]] time_point request_start() const noexcept
    {
        return start_time_;
    }
    /// \returns The number of the current request on this connection.
    [[nodiscard]] std::uint64_t request_number() const noexcept
    {
        return request_number_;
    }
    /// \returns Whether the caller waits for the answer to the request with
    /// this number.
    [[nodiscard]] bool awaits_answer(std::uint64_t number) const noexcept
    {
        return phase_ == phase::answering && request_number_ == number;
    }

    /// \returns The kernel's estimate of the round-trip time to the caller,
    /// read at the first call and then kept; zero if it is unavailable.
    [[nodiscard]] duration round_trip();

    /// \returns The caller's network address, without the port.
    [[nodiscard]] const std::string& caller_host() const noexcept
    {
        return caller_host_;
    }
    [[nodiscard]] bool busy() const noexcept
    {
        return phase_ == phase::answering || !output_.empty();
    }

    /// \returns Whether an answer is owed, or a part of a request has arrived.
    [[nodiscard]] bool has_request() const noexcept;

    /// The handler's state of the current request; reset by the answer.
    boost::intrusive_ptr<request_state> state;

private:
    enum class phase : std::uint8_t
    {
        reading,
        answering, ///< A complete request waits for its answer.
        lingering, ///< Answered and closed for writing; input is drained.
        closed,
    };

    [[nodiscard]] bool has_unread_bytes() const noexcept;
    void on_events(std::uint32_t events) override;
    void receive();
    void parse();
    /// \brief Claims memory for a request that turns out to be large; while the
    /// claim waits, the request isn't read.
    void claim_memory();
    /// \brief A whole request, or one to refuse, is open from now on.
    void begin_request();
    void refuse(std::uint32_t status);
    /// \returns The bytes of the answer that can be sent next.
    [[nodiscard]] std::string_view unsent() const noexcept;
    void flush();
    void discard_output();
    void on_answer_sent();
    /// \returns The events that this connection waits for in its state.
    [[nodiscard]] std::uint32_t wanted_events() const noexcept;
    /// \brief Registers `wanted_events`; called after each step that changes
    /// the state.
    void update_events();
    void linger();
    void close();

    reactor* loop_;
    unique_socket socket_;
    std::string caller_host_;
    http_handler* handler_;
    phase phase_ = phase::reading;
    std::uint32_t watched_events_ = 0;
    request_message request_;
    std::uint64_t request_number_ = 0;
    std::unique_ptr<request_reader> reader_;
    std::string input_;
    memory_claim request_memory_; ///< For a large body of the request.
    memory_waiter memory_waiter_;
    std::string output_;     ///< Head of the answer, and a short body.
    std::string large_body_; ///< Follows `output_`.
    std::vector<memory_claim> memory_; ///< For `large_body_`.
    std::size_t written_ = 0;      ///< Of `output_` and `large_body_` together.
    time_point write_progress_at_; ///< When bytes of `output_` were last sent.
    bool close_after_answer_ = false;
    std::optional<duration> round_trip_;
    time_point idle_since_;
    /// When the current request's first byte arrived, or when the previous
    /// answer was sent if the request was pipelined.
    time_point start_time_;
};

/// \brief Accepts HTTP connections whose requests `handler` answers.
class http_listener final : public io_handler
{
public:
    http_listener(reactor& loop, http_handler& handler)
        : loop_{&loop}, handler_{&handler}
    {}
    ~http_listener();

    [[nodiscard]] result<void> open(const endpoint& address);

    /// \brief Stops accepting connections, after those that wait for it.
    void close();

    /// \brief Enforces the timeouts of all connections.
    void check(time_point now);

    /// \brief Closes the connections that have no open request.
    void close_idle();

    /// \returns The number of connections with an open request.
    [[nodiscard]] std::size_t busy() const;

private:
    void on_events(std::uint32_t events) override;
    /// \returns Whether a connection was waiting.
    bool accept();
    void stop_listening();

    reactor* loop_;
    http_handler* handler_;
    unique_socket socket_;
    boost::intrusive::
        list<http_session, boost::intrusive::constant_time_size<false>>
            sessions_;
};

/// \returns The standard reason phrase of an HTTP status.
[[nodiscard]] std::string_view reason_phrase(std::uint32_t status) noexcept;

} // namespace peridotward
