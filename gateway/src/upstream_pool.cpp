#include <peridotward/gateway/upstream_pool.hpp>

#include <utility>
#include <vector>

namespace peridotward {

namespace {

/// A dead replica is found within 4 s, also while a connection is idle.
constexpr keep_alive_times upstream_keep_alive{seconds{2}, seconds{1}, 2};

} // namespace

upstream_pool::replica_links& upstream_pool::links_of(replica_number number)
{
    while (links_.size() <= number)
        links_.emplace_back();
    return links_[number];
}

bool upstream_pool::open_to_new_work(replica_number number) const
{
    const auto& known = catalog_->at(number);
    return catalog_->availability(known) != replica_availability::excluded &&
           !known.health.unreachable(loop_->now());
}

bool upstream_pool::send_now(replica_number number, upstream_request& request)
{
    auto& known = links_of(number);
    const auto now = loop_->now();
    std::uint32_t count = 0;
    std::uint32_t busy = 0;
    upstream_link* free = nullptr;
    upstream_link* outworn = nullptr;
    for (auto& link : known.links) {
        ++count;
        const bool recent =
            !request.fresh || now - link.idle_since() < fresh_enough;
        if (!link.idle())
            ++busy;
        else if (!link.usable_until(now) || !recent)
            outworn = &link;
        else if (free == nullptr)
            free = &link;
    }
    if (busy >= known.most)
        return false;
    if (free != nullptr) {
        const boost::intrusive_ptr<upstream_link> chosen{free};
        chosen->unlink();
        known.links.push_front(*chosen);
        chosen->send(std::move(request));
        return true;
    }
    if (count >= known.most)
        outworn->close();
    const auto made = open_link(number);
    if (!made)
        return false;
    known.links.push_front(*made);
    made->send(std::move(request));
    return true;
}

boost::intrusive_ptr<upstream_link>
upstream_pool::open_link(replica_number number)
{
    auto connecting = connect_tcp(
        catalog_->at(number).published.address, upstream_keep_alive);
    if (!connecting)
        return nullptr;
    boost::intrusive_ptr<upstream_link> made{
        new upstream_link{*this, number, std::move(*connecting)}};
    made->start();
    ++opened_;
    return made;
}

bool upstream_pool::send(
    replica_number number, upstream_request request, std::uint32_t most)
{
    auto& known = links_of(number);
    known.most = most;
    if (known.waiting.empty() && send_now(number, request))
        return true;
    if (!open_to_new_work(number) || known.links.empty())
        return false;
    const auto* const owner = request.owner.get();
    const auto attempt = request.attempt;
    const auto urgency = request.urgency;
    auto left =
        known.waiting.push(std::move(request), urgency, most, loop_->now());
    if (!left)
        return true;
    if (left->owner == owner && left->attempt == attempt)
        return false;
    loop_->defer([this, lost = std::move(*left)] { report_unsent(lost); });
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
    return links_of(number)
        .waiting
        .extract_if([&](const upstream_request& entry) {
            return entry.owner.get() == &owner && entry.attempt == attempt;
        })
        .has_value();
}

void upstream_pool::serve_waiting(replica_number number)
{
    // Reports may send anew, so the queue is looked at afresh each time.
    while (!links_of(number).waiting.empty()) {
        auto request = links_of(number).waiting.pop(loop_->now());
        if (!open_to_new_work(number)) {
            report_unsent(*request);
            continue;
        }
        if (send_now(number, *request))
            continue;
        auto& known = links_of(number);
        if (known.links.empty()) {
            report_unsent(*request);
            continue;
        }
        const auto urgency = request->urgency;
        // It had room before it was taken out.
        (void)known.waiting.push(
            std::move(*request), urgency, known.most + 1, loop_->now());
        return;
    }
}

void upstream_pool::abort_all(const attempt_owner& owner)
{
    const auto owned = [&](const upstream_request& entry) {
        return entry.owner.get() == &owner;
    };
    for (replica_number number = 0; number < links_.size(); ++number) {
        auto& known = links_[number];
        while (known.waiting.extract_if(owned)) {
        }
        bool freed = false;
        for (auto at = known.links.begin(); at != known.links.end();) {
            auto& link = *at++;
            if (link.owner() == &owner) {
                link.abort();
                freed = true;
            }
        }
        if (freed)
            serve_waiting(number);
    }
}

void upstream_pool::check(time_point now)
{
    // Reports may send anew, which changes the lists.
    std::vector<boost::intrusive_ptr<upstream_link>> overdue;
    for (auto& known : links_) {
        for (auto& link : known.links) {
            if (link.overdue(now))
                overdue.emplace_back(&link);
        }
    }
    for (const auto& link : overdue)
        link->expire();
    for (replica_number number = 0; number < links_.size(); ++number)
        serve_waiting(number);
}

void upstream_pool::forget(replica_number number)
{
    if (links_.size() <= number)
        return;
    auto& known = links_[number].links;
    for (auto at = known.begin(); at != known.end();) {
        auto& link = *at++;
        if (link.idle())
            link.close();
    }
    while (const auto request = links_[number].waiting.pop(loop_->now()))
        report_unsent(*request);
}

std::size_t upstream_pool::connections() const
{
    std::size_t count = 0;
    for (const auto& known : links_)
        count += known.links.size();
    return count;
}

std::size_t upstream_pool::waiting() const
{
    std::size_t count = 0;
    for (const auto& known : links_)
        count += known.waiting.size();
    return count;
}

} // namespace peridotward
