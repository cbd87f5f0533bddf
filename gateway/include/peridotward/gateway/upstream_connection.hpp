#pragma once

#include <peridotward/core/discovery/upstream_catalog.hpp>
#include <peridotward/gateway/answer_memory.hpp>
#include <peridotward/gateway/http_reader.hpp>
#include <peridotward/gateway/reactor.hpp>
#include <peridotward/gateway/socket.hpp>
#include <peridotward/gateway/upstream_request.hpp>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

class upstream_pool;

/// \brief One connection to a replica; one request at a time.
///
/// \remarks A request is never sent twice. Bytes received without an open
/// request close the connection.
class upstream_connection final
    : public io_handler,
      public boost::intrusive_ref_counter<
          upstream_connection,
          boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    /// Max time until the connection is made.
    static constexpr milliseconds connect_timeout{500};
    /// Max size of an answer's body.
    static constexpr std::size_t max_answer_bytes = 16U << 20U;
    /// Requests whose ids a connection remembers: those that it carried last.
    static constexpr std::size_t remembered_ids = 32;
    /// Answers to earlier requests that are skipped before the connection is
    /// closed.
    static constexpr std::uint32_t max_mismatched_answers = 4;

    /// \param connecting A socket that is connecting.
    upstream_connection(
        upstream_pool& pool, replica_number replica, unique_socket connecting);

    /// \brief Registers with the reactor, which then holds a reference until
    /// `close`.
    void start();

    /// \brief Sends a request, or stores it until the connection is made; the
    /// previous request must have ended.
    void send(upstream_request request);

    /// \brief Takes back an attempt that waits until the connection is made;
    /// the connection stays.
    /// \returns Whether the attempt waited, and so hasn't been sent.
    [[nodiscard]] bool
    withdraw(const attempt_owner& owner, std::uint32_t attempt) noexcept;

    /// \brief Closes the connection without reporting its request.
    void abort();

    /// \returns Whether the timeout for connecting, the answer or the next
    /// request has passed.
    [[nodiscard]] bool overdue(time_point now) const noexcept;

    /// \brief Closes an overdue connection and reports its open request.
    void expire();

    [[nodiscard]] bool idle() const noexcept { return phase_ == phase::idle; }

    [[nodiscard]] bool connecting() const noexcept
    {
        return phase_ == phase::connecting;
    }

    /// \returns Whether the replica is expected to keep the idle connection
    /// open at `now`.
    [[nodiscard]] bool usable_at(time_point now) const noexcept
    {
        return now < usable_until_;
    }
    /// \returns Whether the connection has carried a request with this id, one
    /// of the last `remembered_ids`. It must not carry another one: a late copy
    /// of the earlier answer would look like the answer to the new attempt.
    [[nodiscard]] bool has_carried(std::string_view request_id) const noexcept;

    [[nodiscard]] time_point idle_since() const noexcept { return idle_since_; }

    /// \returns The owner of the open request, or null.
    [[nodiscard]] const attempt_owner* owner() const noexcept
    {
        return request_.owner.get();
    }
    [[nodiscard]] replica_number replica() const noexcept { return replica_; }

    void close();

private:
    enum class phase : std::uint8_t
    {
        connecting,
        idle,
        busy,
        closed,
    };

    void on_events(std::uint32_t events) override;
    void on_connected();
    void flush();
    void receive();
    void parse();
    /// \param cause How the open request ends, unless the end of the
    /// connection completes its answer.
    void on_connection_end(forward_outcome cause, bool orderly = false);
    void on_answer();
    void remember(std::string_view request_id);
    void set_buffered(std::size_t bytes) noexcept;
    void record_answer_fields();
    [[nodiscard]] forward_outcome outcome_of_answer() const;
    void report(forward_outcome outcome, response_message* answer);
    /// \returns The events that this connection waits for in its state.
    [[nodiscard]] std::uint32_t wanted_events() const noexcept;
    /// \brief Registers `wanted_events`; called after each step that changes
    /// the state.
    void update_events();

    upstream_pool* pool_;
    replica_number replica_;
    unique_socket socket_;
    phase phase_ = phase::connecting;
    std::uint32_t watched_events_ = 0;
    time_point start_time_;
    time_point idle_since_;
    time_point usable_until_ = time_point::max();
    upstream_request request_;
    std::string output_; ///< The serialized request.
    std::size_t written_ = 0;
    std::string input_;
    response_message answer_;
    std::optional<response_reader> reader_;
    std::uint32_t mismatched_answers_ = 0;
    /// Hashes of the ids of the last requests, in a ring.
    std::vector<std::uint64_t> carried_;
    std::size_t carried_count_ = 0;
    std::size_t buffered_ = 0;
    answer_memory memory_;
};

} // namespace peridotward
