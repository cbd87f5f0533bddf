#pragma once

#include <peridotward/core/admission/send_queue.hpp>
#include <peridotward/core/discovery/upstream_catalog.hpp>
#include <peridotward/core/gather/forwarded_request.hpp>
#include <peridotward/gateway/http_reader.hpp>
#include <peridotward/gateway/protocol_names.hpp>
#include <peridotward/gateway/reactor.hpp>
#include <peridotward/gateway/request_state.hpp>
#include <peridotward/gateway/socket.hpp>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace peridotward {

/// \brief Takes the ends of attempts.
class attempt_owner : public request_state
{
public:
    /// \param answer Valid during the call; null unless the replica answered.
    virtual void on_attempt_end(
        std::uint32_t attempt,
        forward_outcome outcome,
        response_message* answer) = 0;

    /// \returns The whole request of an attempt that goes out now.
    [[nodiscard]] virtual std::string
    bytes_for(std::uint32_t attempt) const = 0;
};

/// \brief One request to one replica.
struct upstream_request
{
    boost::intrusive_ptr<attempt_owner> owner;
    std::uint32_t attempt = 0;
    send_urgency urgency;   ///< Decides who waits for a connection.
    std::string request_id; ///< Answers to other requests are not taken.
    time_point give_up_at;  ///< The replica has dropped the request by then.
    bool bodiless = false;  ///< The answer has no body (HEAD).
    bool fresh = false;     ///< Must not go out on a connection used before.
};

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

/// \brief The connections to all replicas.
class upstream_pool
{
public:
    /// Idle connections are not used so shortly before their announced end.
    static constexpr milliseconds idle_margin{700};
    /// Requests that may run once use no connection idle for longer: it may
    /// have been dropped without a word.
    static constexpr milliseconds fresh_enough{1000};

    upstream_pool(
        reactor& loop, upstream_catalog& catalog, const protocol_names& names)
        : loop_{&loop}, catalog_{&catalog}, names_{&names}
    {}

    /// \brief Sends on an idle connection, or makes a new one if there are
    /// fewer than `most`, or lets the request wait for one.
    ///
    /// \returns False when there is no room to wait; nothing is reported.
    /// Requests that have to leave the queue later are reported as unsent.
    [[nodiscard]] bool
    send(replica_number number, upstream_request request, std::uint32_t most);

    /// \brief Ends all attempts of `owner` without a report.
    void abort_all(const attempt_owner& owner);

    /// \brief Takes an attempt out of the queue for a connection.
    /// \returns Whether it was there, so that it has not been sent.
    [[nodiscard]] bool withdraw(
        replica_number number,
        const attempt_owner& owner,
        std::uint32_t attempt);

    /// \brief Sends what waits for the replica, as far as connections allow.
    void serve_waiting(replica_number number);

    /// \brief Closes what waited too long.
    void check(time_point now);

    /// \brief Closes the idle connections of a replica that ended, and reports
    /// what waits for it as unsent.
    void forget(replica_number number);

    [[nodiscard]] std::size_t connections() const;
    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] std::uint64_t opened() const noexcept { return opened_; }

    [[nodiscard]] reactor& loop() noexcept { return *loop_; }
    [[nodiscard]] upstream_catalog& catalog() noexcept { return *catalog_; }
    [[nodiscard]] const protocol_names& names() const noexcept
    {
        return *names_;
    }

private:
    using link_list = boost::intrusive::
        list<upstream_link, boost::intrusive::constant_time_size<false>>;

    struct replica_links
    {
        link_list links; ///< The last used first.
        send_queue<upstream_request> waiting;
        std::uint32_t most = 1; ///< Connections, as said last.
    };

    [[nodiscard]] replica_links& links_of(replica_number number);
    [[nodiscard]] bool
    send_now(replica_number number, upstream_request& request);
    /// \returns A link that connects, or null when none can be tried.
    [[nodiscard]] boost::intrusive_ptr<upstream_link>
    open_link(replica_number number);
    [[nodiscard]] bool open_to_new_work(replica_number number) const;
    void report_unsent(const upstream_request& request);

    reactor* loop_;
    upstream_catalog* catalog_;
    const protocol_names* names_;
    /// By replica. Entries stay where they are while a report sends anew.
    std::deque<replica_links> links_;
    std::uint64_t opened_ = 0;
};

} // namespace peridotward
