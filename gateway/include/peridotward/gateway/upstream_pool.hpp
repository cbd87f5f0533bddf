#pragma once

#include <peridotward/core/admission/memory_budget.hpp>
#include <peridotward/core/admission/send_queue.hpp>
#include <peridotward/core/discovery/upstream_catalog.hpp>
#include <peridotward/core/placement/upstream_contact.hpp>
#include <peridotward/gateway/header_names.hpp>
#include <peridotward/gateway/reactor.hpp>
#include <peridotward/gateway/upstream_connection.hpp>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <utility>

namespace peridotward {

/// \brief Connections to all replicas, and requests that wait for one.
class upstream_pool
{
public:
    /// An idle connection isn't used this long before the end of the idle time
    /// that the replica announced.
    static constexpr milliseconds idle_margin{700};
    /// Requests that may run at most once use no connection that was idle for
    /// longer: the replica may have dropped it without notice.
    static constexpr milliseconds max_recent_idle{1000};

    /// \param memory Of large answers.
    upstream_pool(
        reactor& loop,
        upstream_catalog& catalog,
        const header_names& names,
        boost::intrusive_ptr<memory_budget> memory =
            new memory_budget{memory_budget::default_capacity})
        : loop_{&loop},
          catalog_{&catalog},
          names_{&names},
          memory_{std::move(memory)}
    {}

    /// \brief Sends the request on an idle connection, opens one if there are
    /// fewer than `limits` allow, or queues the request.
    ///
    /// \returns False when the request could neither be sent nor queued; it
    /// isn't reported then. Requests that are dropped from the queue later are
    /// reported as unsent.
    [[nodiscard]] bool send(
        replica_number number,
        upstream_request request,
        const connection_limits& limits);

    /// \brief Replaces the limits of the replica, also for the connections that
    /// are open; has no effect if none was ever opened.
    void
    limit_connections(replica_number number, const connection_limits& limits);

    /// \brief Opens a connection to find out whether the replica still listens,
    /// unless one is being opened.
    void probe(replica_number number);

    /// \brief Closes the connections that carry no request.
    void close_unused();

    /// \brief Ends all attempts of `owner` without reporting them.
    void abort_all(const attempt_owner& owner);

    /// \brief Removes an attempt from the replica's queue.
    /// \returns Whether the attempt was queued, and so hasn't been sent.
    [[nodiscard]] bool withdraw(
        replica_number number,
        const attempt_owner& owner,
        std::uint32_t attempt);

    /// \brief Takes back an attempt that waits for a connection, also for one
    /// that is being made.
    /// \returns Whether the attempt waited, and so hasn't been sent.
    [[nodiscard]] bool withdraw_unsent(
        replica_number number,
        const attempt_owner& owner,
        std::uint32_t attempt);

    /// \brief Sends the replica's queued requests while connections are free.
    void send_waiting(replica_number number);

    /// \brief Closes overdue connections and those that were idle for too long,
    /// and sends queued requests.
    void check(time_point now);

    /// \brief Closes the idle connections of a replica that has ended and
    /// reports its queued requests as unsent.
    void remove_replica(replica_number number);

    /// \returns Whether the replica, as far as it and the operators say, may
    /// get new requests.
    [[nodiscard]] bool wants_requests(replica_number number) const;

    /// \brief Records what an answer says of the replica that sent it.
    void record_notice(replica_number number, const answer_notice& notice);

    /// \brief Records what an answer that another instance got says of its
    /// upstream, which may not be known here yet.
    void record_notice_of(
        const std::string& id,
        std::uint64_t start_id,
        const answer_notice& notice);

    /// Called when a connection to a replica is refused.
    std::function<void(replica_number)> on_refused;

    /// Called when a replica says in an answer that it is leaving.
    std::function<void(replica_number)> on_leaving;

    /// Called when a replica that was not paused asks for a pause.
    std::function<void(replica_number, milliseconds)> on_pause;

    /// Called when a replica begins or ceases to name a rate limit.
    std::function<void(replica_number)> on_rate_limit;

    [[nodiscard]] std::size_t connection_count() const;

    /// \returns The number of queued requests.
    [[nodiscard]] std::size_t waiting_count() const;

    /// \brief Updates the size of the incomplete answer of one connection.
    void change_buffered(std::size_t before, std::size_t after) noexcept
    {
        buffered_bytes_ += after - before;
    }

    /// \returns The size of all incomplete answers.
    [[nodiscard]] std::size_t buffered_bytes() const noexcept
    {
        return buffered_bytes_;
    }

    /// \returns The number of connections opened since the start.
    [[nodiscard]] std::uint64_t opened() const noexcept { return opened_; }

    /// \returns Whether this instance reaches any upstream.
    [[nodiscard]] upstream_contact& contact() noexcept { return contact_; }

    /// \returns The number of answers without a request id that could not be
    /// tied to an attempt.
    [[nodiscard]] std::uint64_t& untied_answers() noexcept
    {
        return untied_answers_;
    }

    [[nodiscard]] memory_budget& memory() noexcept { return *memory_; }
    [[nodiscard]] reactor& loop() noexcept { return *loop_; }
    [[nodiscard]] upstream_catalog& catalog() noexcept { return *catalog_; }
    [[nodiscard]] const header_names& names() const noexcept { return *names_; }

private:
    void report_changes(
        replica_number number,
        const answer_notice& notice,
        const notice_changes& changes);
    using connection_list = boost::intrusive::
        list<upstream_connection, boost::intrusive::constant_time_size<false>>;

    struct replica_connections
    {
        connection_list connections; ///< Most recently used first.
        send_queue<upstream_request> waiting;
        connection_limits limits; ///< Set by the last `send`.
    };

    [[nodiscard]] replica_connections& connections_of(replica_number number);

    /// \returns Whether the request was sent or a new connection will send it.
    [[nodiscard]] bool
    try_send(replica_number number, upstream_request& request);

    /// \returns A connecting connection, or null if no socket could be opened.
    [[nodiscard]] boost::intrusive_ptr<upstream_connection>
    open_connection(replica_number number);

    /// \brief Closes idle connections above the limit, the least recently used
    /// first.
    static void close_surplus(replica_connections& replica);

    /// \returns Whether new requests may be sent to the replica.
    [[nodiscard]] bool accepts_requests(replica_number number) const;
    void report_unsent(const upstream_request& request);

    reactor* loop_;
    upstream_catalog* catalog_;
    const header_names* names_;
    boost::intrusive_ptr<memory_budget> memory_;
    /// By replica number. A deque, so that references stay valid when a report
    /// causes another `send` that adds a replica.
    std::deque<replica_connections> connections_;
    upstream_contact contact_;
    std::uint64_t opened_ = 0;
    std::uint64_t untied_answers_ = 0;
    std::size_t buffered_bytes_ = 0;
};

} // namespace peridotward
