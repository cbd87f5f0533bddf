#include <peridotward/gateway/upstream_pool.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace peridotward {

namespace {

/// A dead replica is detected within 4 s, also on idle connections.
constexpr keep_alive_times upstream_keep_alive{seconds{2}, seconds{1}, 2};

} // namespace

upstream_pool::replica_connections&
upstream_pool::connections_of(replica_number number)
{
    while (connections_.size() <= number)
        connections_.emplace_back();
    return connections_[number];
}

bool upstream_pool::wants_requests(replica_number number) const
{
    const auto& replica = catalog_->at(number);
    return catalog_->availability(replica) != replica_availability::excluded &&
           !replica.health.paused(loop_->now());
}

bool upstream_pool::accepts_requests(replica_number number) const
{
    return wants_requests(number) &&
           !catalog_->at(number).health.unreachable(loop_->now());
}

bool upstream_pool::try_send(replica_number number, upstream_request& request)
{
    auto& replica = connections_of(number);
    const auto now = loop_->now();
    std::uint32_t count = 0;
    std::uint32_t busy = 0;
    upstream_connection* idle_connection = nullptr;
    upstream_connection* unusable_connection = nullptr;
    for (auto& connection : replica.connections) {
        ++count;
        const bool recent = !request.recent_connection_only ||
                            now - connection.idle_since() < max_recent_idle;
        if (!connection.idle())
            ++busy;
        else if (
            !connection.usable_at(now) || !recent ||
            connection.has_carried(request.request_id))
            unusable_connection = &connection;
        else if (idle_connection == nullptr)
            idle_connection = &connection;
    }
    if (busy >= replica.limits.max_count)
        return false;
    if (idle_connection != nullptr) {
        const boost::intrusive_ptr<upstream_connection> chosen{idle_connection};
        chosen->unlink();
        replica.connections.push_front(*chosen);
        chosen->send(std::move(request));
        return true;
    }
    if (count >= replica.limits.max_count)
        unusable_connection->close();
    const auto opened = open_connection(number);
    if (!opened)
        return false;
    replica.connections.push_front(*opened);
    opened->send(std::move(request));
    return true;
}

boost::intrusive_ptr<upstream_connection>
upstream_pool::open_connection(replica_number number)
{
    auto connecting = connect_tcp(
        catalog_->at(number).published.address, upstream_keep_alive);
    if (!connecting)
        return nullptr;
    boost::intrusive_ptr<upstream_connection> opened{
        new upstream_connection{*this, number, std::move(*connecting)}};
    opened->start();
    ++opened_;
    return opened;
}

void upstream_pool::limit_connections(
    replica_number number, const connection_limits& limits)
{
    if (connections_.size() <= number)
        return;
    connections_[number].limits = limits;
    close_surplus(connections_[number]);
}

void upstream_pool::close_surplus(replica_connections& replica)
{
    auto count = replica.connections.size();
    for (auto it = replica.connections.end();
         count > replica.limits.max_open &&
         it != replica.connections.begin();) {
        auto& connection = *--it;
        if (!connection.idle())
            continue;
        ++it; // Stays valid when the connection leaves the list.
        connection.close();
        --count;
    }
}

void upstream_pool::probe(replica_number number)
{
    auto& replica = connections_of(number);
    std::uint32_t count = 0;
    for (const auto& connection : replica.connections) {
        ++count;
        if (connection.connecting())
            return;
    }
    if (count >= replica.limits.max_count)
        return;
    if (const auto opened = open_connection(number))
        replica.connections.push_front(*opened);
}

void upstream_pool::close_unused()
{
    for (auto& replica : connections_) {
        for (auto it = replica.connections.begin();
             it != replica.connections.end();) {
            auto& connection = *it++;
            if (connection.owner() == nullptr)
                connection.close();
        }
    }
}

bool upstream_pool::send(
    replica_number number,
    upstream_request request,
    const connection_limits& limits)
{
    auto& replica = connections_of(number);
    replica.limits = limits;
    if (replica.waiting.empty() && try_send(number, request))
        return true;
    if (!accepts_requests(number) || replica.connections.empty())
        return false;
    const auto* const owner = request.owner.get();
    const auto attempt = request.attempt;
    const auto urgency = request.urgency;
    auto evicted = replica.waiting.push(
        std::move(request), urgency, limits.max_count, loop_->now());
    if (!evicted)
        return true;
    if (evicted->owner == owner && evicted->attempt == attempt)
        return false;
    loop_->defer([this, dropped_request = std::move(*evicted)] {
        report_unsent(dropped_request);
    });
    return true;
}

void upstream_pool::report_unsent(const upstream_request& request)
{
    request.owner->on_attempt_end(
        request.attempt, forward_outcome::unsent, nullptr);
}

bool upstream_pool::withdraw(
    replica_number number, const attempt_owner& owner, std::uint32_t attempt)
{
    return connections_of(number)
        .waiting
        .extract_if([&](const upstream_request& queued) {
            return queued.owner.get() == &owner && queued.attempt == attempt;
        })
        .has_value();
}

bool upstream_pool::withdraw_unsent(
    replica_number number, const attempt_owner& owner, std::uint32_t attempt)
{
    if (withdraw(number, owner, attempt))
        return true;
    auto& connections = connections_of(number).connections;
    return std::any_of(
        connections.begin(), connections.end(), [&](auto& connection) {
            return connection.withdraw(owner, attempt);
        });
}

void upstream_pool::send_waiting(replica_number number)
{
    // A report may call `send`, so each round looks up the queue again.
    while (!connections_of(number).waiting.empty()) {
        auto request = connections_of(number).waiting.pop(loop_->now());
        if (!accepts_requests(number)) {
            report_unsent(*request);
            continue;
        }
        if (try_send(number, *request))
            continue;
        auto& replica = connections_of(number);
        if (replica.connections.empty()) {
            report_unsent(*request);
            continue;
        }
        const auto urgency = request->urgency;
        auto evicted = replica.waiting.push(
            std::move(*request),
            urgency,
            replica.limits.max_count + 1,
            loop_->now());
        if (!evicted)
            return;
        // The limits are lower than when the requests were queued.
        report_unsent(*evicted);
    }
}

void upstream_pool::abort_all(const attempt_owner& owner)
{
    const auto owned = [&](const upstream_request& queued) {
        return queued.owner.get() == &owner;
    };
    for (replica_number number = 0; number < connections_.size(); ++number) {
        auto& replica = connections_[number];
        while (replica.waiting.extract_if(owned)) {
        }
        bool freed = false;
        for (auto it = replica.connections.begin();
             it != replica.connections.end();) {
            auto& connection = *it++;
            if (connection.owner() == &owner) {
                connection.abort();
                freed = true;
            }
        }
        if (freed)
            send_waiting(number);
    }
}

void upstream_pool::check(time_point now)
{
    // A report may call `send`, which changes the lists.
    std::vector<boost::intrusive_ptr<upstream_connection>> overdue;
    for (auto& replica : connections_) {
        const auto max_idle = replica.limits.max_idle;
        for (auto& connection : replica.connections) {
            const bool unneeded =
                connection.idle() && now - connection.idle_since() > max_idle;
            if (unneeded || connection.overdue(now))
                overdue.emplace_back(&connection);
        }
    }
    for (const auto& connection : overdue)
        connection->expire();
    for (auto& replica : connections_)
        close_surplus(replica);
    for (replica_number number = 0; number < connections_.size(); ++number)
        send_waiting(number);
}

void upstream_pool::remove_replica(replica_number number)
{
    if (connections_.size() <= number)
        return;
    auto& connections = connections_[number].connections;
    for (auto it = connections.begin(); it != connections.end();) {
        auto& connection = *it++;
        if (connection.idle())
            connection.close();
    }
    while (const auto request = connections_[number].waiting.pop(loop_->now()))
        report_unsent(*request);
}

void upstream_pool::record_notice(
    replica_number number, const answer_notice& notice)
{
    report_changes(
        number, notice, catalog_->apply_notice(number, notice, loop_->now()));
}

void upstream_pool::record_notice_of(
    const std::string& id, std::uint64_t start_id, const answer_notice& notice)
{
    const auto applied =
        catalog_->apply_notice_of(id, start_id, notice, loop_->now());
    if (applied)
        report_changes(applied->first, notice, applied->second);
}

void upstream_pool::report_changes(
    replica_number number,
    const answer_notice& notice,
    const notice_changes& changes)
{
    if (changes.leaving && on_leaving)
        on_leaving(number);
    if (changes.rate_limit && on_rate_limit)
        on_rate_limit(number);
    if (changes.paused && on_pause)
        on_pause(
            number, std::chrono::duration_cast<milliseconds>(*notice.pause));
}

std::size_t upstream_pool::connection_count() const
{
    std::size_t count = 0;
    for (const auto& replica : connections_)
        count += replica.connections.size();
    return count;
}

std::size_t upstream_pool::waiting_count() const
{
    std::size_t count = 0;
    for (const auto& replica : connections_)
        count += replica.waiting.size();
    return count;
}

} // namespace peridotward
