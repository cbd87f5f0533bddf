#pragma once

#include <peridotward/core/admission/send_queue.hpp>
#include <peridotward/core/discovery/upstream_catalog.hpp>
#include <peridotward/gateway/protocol_names.hpp>
#include <peridotward/gateway/reactor.hpp>
#include <peridotward/gateway/upstream_link.hpp>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstdint>
#include <deque>

namespace peridotward {

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
