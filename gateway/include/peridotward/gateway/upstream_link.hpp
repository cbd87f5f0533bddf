#pragma once

#include <peridotward/core/discovery/upstream_catalog.hpp>
#include <peridotward/gateway/http_reader.hpp>
#include <peridotward/gateway/reactor.hpp>
#include <peridotward/gateway/socket.hpp>
#include <peridotward/gateway/upstream_request.hpp>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace peridotward {

class upstream_pool;

/// \brief One connection to a replica; one request at a time.
///
/// \remarks Nothing is ever sent twice. Bytes that belong to no request end
/// the connection.
class upstream_link final
    : public io_handler,
      public boost::
          intrusive_ref_counter<upstream_link, boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    /// Longest time for a connection to be made.
    static constexpr milliseconds connect_time{500};
    /// Largest answer that is taken.
    static constexpr std::size_t max_answer_bytes = 16U << 20U;
    /// Answers to earlier requests that are skipped before one gives up.
    static constexpr std::uint32_t max_foreign_answers = 4;

    /// \param connecting A socket whose connection is being made.
    upstream_link(
        upstream_pool& pool, replica_number number, unique_socket connecting);

    /// \brief Begins to follow the connection; the loop holds the link then.
    void start();
    void send(upstream_request request);

    /// \brief Ends the request at hand without a report.
    void abort();

    /// \returns Whether the link waited too long: for its connection, an
    /// answer, or the next request.
    [[nodiscard]] bool overdue(time_point now) const noexcept;

    /// \brief Ends an overdue link and reports the request that it owes.
    void expire();

    [[nodiscard]] bool idle() const noexcept { return phase_ == phase::idle; }
    [[nodiscard]] bool usable_until(time_point now) const noexcept
    {
        return now < use_until_;
    }
    [[nodiscard]] time_point idle_since() const noexcept { return idle_since_; }
    [[nodiscard]] const attempt_owner* owner() const noexcept
    {
        return request_.owner.get();
    }
    [[nodiscard]] replica_number number() const noexcept { return number_; }

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
    void on_end(bool orderly);
    void on_answer();
    void note_answer();
    [[nodiscard]] forward_outcome outcome_of_answer() const;
    void report(forward_outcome outcome, response_message* answer);
    void watch(std::uint32_t events);

    upstream_pool* pool_;
    replica_number number_;
    unique_socket socket_;
    phase phase_ = phase::connecting;
    std::uint32_t watched_ = 0;
    time_point began_;
    time_point idle_since_;
    time_point use_until_ = time_point::max();
    upstream_request request_;
    std::string output_; ///< The whole request.
    std::size_t written_ = 0;
    std::string input_;
    response_message answer_;
    std::optional<response_reader> reader_;
    std::uint32_t foreign_answers_ = 0;
    bool answered_any_ = false; ///< The connection carried an answer before.
};

} // namespace peridotward
