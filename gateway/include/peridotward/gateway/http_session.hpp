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

namespace peridotward {

class http_session;

/// \brief Answers the requests of a listener.
class http_handler
{
public:
    /// \brief Takes a whole request; `session.respond` answers it, now or
    /// later. The message stays valid until the answer.
    virtual void on_request(http_session& session) = 0;

    /// \brief The caller left before the answer.
    virtual void on_caller_left(http_session&) {}

    /// \returns What callers of this listener may ask for.
    [[nodiscard]] virtual caller_limits limits() const = 0;

    /// \returns Whether connections are to be closed after their answer.
    [[nodiscard]] virtual bool closing() const { return false; }

protected:
    ~http_handler() = default;
};

/// \brief One connection of a caller; one request at a time.
class http_session final
    : public io_handler,
      public boost::
          intrusive_ref_counter<http_session, boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    /// Bytes read at once, and those kept of requests to come.
    static constexpr std::size_t read_bytes = 16384;
    /// Longest time to drain a connection that was ended for a bad request.
    static constexpr milliseconds linger_time{1000};

    http_session(reactor& loop, unique_socket socket, http_handler& handler);
    ~http_session();

    void start();

    /// \brief Sends the answer to the request at hand.
    /// \param head Status line and fields, each with its line end, without
    /// length, connection and the empty line.
    void respond(std::string_view head, std::string_view body);

    /// \brief The same with a status and content type only.
    void respond(
        std::uint32_t status,
        std::string_view content_type,
        std::string_view body);

    /// \brief Closes what waited too long.
    void check(time_point now);

    /// \brief Closes the connection if no request is open.
    void close_if_idle();

    [[nodiscard]] const request_message& request() const noexcept
    {
        return request_;
    }
    [[nodiscard]] time_point request_began() const noexcept { return began_; }

    /// \returns The round trip to the caller as the kernel measured it at the
    /// connection's first answer; zero if it does not tell.
    [[nodiscard]] duration round_trip();
    [[nodiscard]] bool busy() const noexcept
    {
        return phase_ == phase::answering || !output_.empty();
    }

    boost::intrusive_ptr<request_state> state;

private:
    enum class phase : std::uint8_t
    {
        reading,
        answering, ///< A whole request waits for its answer.
        lingering, ///< Answered and half closed.
        closed,
    };

    void on_events(std::uint32_t events) override;
    void receive();
    void parse();
    void refuse(std::uint32_t status);
    void flush();
    void after_answer();
    void watch(std::uint32_t events);
    void linger();
    void close();

    reactor* loop_;
    unique_socket socket_;
    http_handler* handler_;
    phase phase_ = phase::reading;
    std::uint32_t watched_ = 0;
    request_message request_;
    std::unique_ptr<request_reader> reader_;
    std::string input_;
    std::string output_;
    std::size_t written_ = 0;
    bool close_after_ = false;
    std::optional<duration> round_trip_;
    time_point idle_since_;
    time_point began_; ///< First byte of the request at hand.
};

/// \brief Accepts connections for one handler.
class http_listener final : public io_handler
{
public:
    http_listener(reactor& loop, http_handler& handler)
        : loop_{&loop}, handler_{&handler}
    {}
    ~http_listener();

    [[nodiscard]] result<void> open(const endpoint& address);

    /// \brief Stops accepting.
    void close();

    /// \brief Closes connections that waited too long.
    void check(time_point now);

    /// \brief Closes the connections without a request.
    void close_idle();

    /// \returns Requests that still wait for their answers.
    [[nodiscard]] std::size_t busy() const;

private:
    void on_events(std::uint32_t events) override;

    reactor* loop_;
    http_handler* handler_;
    unique_socket socket_;
    boost::intrusive::
        list<http_session, boost::intrusive::constant_time_size<false>>
            sessions_;
};

/// \returns The usual text of an HTTP status.
[[nodiscard]] std::string_view reason_of(std::uint32_t status) noexcept;

} // namespace peridotward
