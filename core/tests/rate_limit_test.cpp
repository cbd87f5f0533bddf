#include <peridotward/core/placement/rate_share_exchange.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr seconds span{4};

/// The most requests that a replica with the limit `per_second` may get within
/// `span`.
double most_in_span(double per_second)
{
    return 1.5 * per_second * 4 + 5;
}

/// Instances that send requests to one service with three replicas, the first
/// of which names a rate limit.
class limited_fleet
{
    struct instance
    {
        instance(
            const std::string& name,
            const std::vector<std::string>& all,
            std::uint64_t seed)
            : random{seed}
        {
            fleet.self = name;
            fleet.others = all;
            std::erase(fleet.others, name);
            for (const std::string id : {"a", "b", "c"}) {
                upstream_record record;
                record.id = id;
                record.service = "s";
                record.address = {id, 80};
                record.slots = 1000;
                catalog.publish(std::move(record), start);
            }
        }

        upstream_catalog catalog;
        random_source random;
        replica_selector selector{catalog, cold_bounds{}, "d", random};
        rate_share_exchange exchange{catalog, selector, random};
        fleet_view fleet;
    };

    struct message_in_flight
    {
        std::string from;
        outgoing_message message;
    };

public:
    explicit limited_fleet(std::size_t size)
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < size; ++i)
            names.push_back("instance-" + std::to_string(i));
        for (const auto& name : names)
            instances_.push_back(
                std::make_unique<instance>(name, names, instances_.size() + 1));
        for (const auto& each : instances_)
            by_name_[each->fleet.self] = each.get();
    }

    void limit(std::optional<double> per_second)
    {
        for (const auto& each : instances_) {
            each->catalog.at(0).rate_limit = per_second;
            each->catalog.at(0).rate_limit_ended = !per_second;
        }
    }

    /// From now on answers name no limit; only instances that send to the
    /// replica hear of it.
    void end_limit() { limit_ended_ = true; }

    /// \returns The instances that know of a limit.
    [[nodiscard]] std::size_t limited_instances() const
    {
        return static_cast<std::size_t>(std::count_if(
            instances_.begin(), instances_.end(), [](const auto& each) {
                return each->catalog.at(0).rate_limit.has_value();
            }));
    }

    /// An attempt of the instance `sender`.
    void request(std::size_t sender, time_point now)
    {
        for (; next_exchange_ <= now; next_exchange_ += milliseconds{100})
            exchange(next_exchange_);
        auto& from = *instances_[sender];
        const auto chosen =
            from.selector.choose(service_, {}, {}, from.fleet, now);
        if (chosen != replica_number{0})
            return;
        if (limit_ended_) {
            from.catalog.at(0).rate_limit_ended = true;
            from.catalog.at(0).rate_limit.reset();
        }
        sent_.push_back(now);
        ++total_;
        while (now - sent_.front() >= span)
            sent_.pop_front();
        most_ = std::max(most_, sent_.size());
    }

    [[nodiscard]] std::size_t size() const { return instances_.size(); }
    /// The most requests that the limited replica got within `span`.
    [[nodiscard]] std::size_t most() const { return most_; }
    [[nodiscard]] std::size_t total() const { return total_; }

    void forget()
    {
        most_ = 0;
        total_ = 0;
        sent_.clear();
    }

private:
    /// Delivers the messages of the last call, of which one in ten is lost.
    void exchange(time_point now)
    {
        for (auto& [from, sent] : std::exchange(in_flight_, {})) {
            if (random_.below(10) != 0)
                deliver(*by_name_.at(sent.to), from, sent.message, now);
        }
        for (const auto& each : instances_) {
            std::vector<outgoing_message> out;
            each->exchange.poll(each->fleet, now, out);
            send(*each, std::move(out));
        }
    }

    void deliver(
        instance& to,
        const std::string& from,
        const peer_message& message,
        time_point now)
    {
        std::vector<outgoing_message> out;
        if (const auto* request = std::get_if<rate_share_request>(&message))
            to.exchange.on_message(from, *request, to.fleet, now, out);
        else
            to.exchange.on_message(from, std::get<rate_share_grant>(message));
        send(to, std::move(out));
    }

    void send(const instance& from, std::vector<outgoing_message> messages)
    {
        for (auto& message : messages)
            in_flight_.push_back({from.fleet.self, std::move(message)});
    }

    forward_service service_{"s", "/", 0, {}, 0};
    std::vector<std::unique_ptr<instance>> instances_;
    std::unordered_map<std::string, instance*> by_name_;
    std::vector<message_in_flight> in_flight_;
    time_point next_exchange_ = start;
    random_source random_{11};
    bool limit_ended_ = false;
    std::deque<time_point> sent_;
    std::size_t most_ = 0;
    std::size_t total_ = 0;
};

/// `per_second` requests at random ones of the first `senders` instances.
void send_to_first(
    limited_fleet& fleet,
    std::size_t senders,
    double per_second,
    time_point from,
    seconds time)
{
    random_source random{3};
    const auto max_gap = static_cast<std::uint64_t>(2e6 / per_second);
    for (auto now = from; now < from + time;
         now += microseconds{random.below(max_gap)})
        fleet.request(random.below(senders), now);
}

/// `per_second` requests at random instances.
void send_evenly(
    limited_fleet& fleet, double per_second, time_point from, seconds time)
{
    send_to_first(fleet, fleet.size(), per_second, from, time);
}

} // namespace

// Guards against a replica that gets more requests than the rate that it named.
TEST_CASE(
    "rate limit: the requests of all instances stay within it", "[rate_limit]")
{
    for (const std::size_t size : {1U, 8U, 79U, 740U}) {
        for (const double limit : {0.0, 0.3, 4.0, 30.0, 400.0}) {
            limited_fleet fleet{size};
            fleet.limit(limit);
            send_evenly(fleet, 2000, start, seconds{20});
            INFO(size << " instances, limit " << limit);
            CHECK(static_cast<double>(fleet.most()) <= most_in_span(limit));
            CHECK(fleet.most() > 0);
        }
    }
}

TEST_CASE(
    "rate limit: instances that were idle do not send at once", "[rate_limit]")
{
    limited_fleet fleet{740};
    fleet.limit(30);
    for (std::size_t round = 0; round < 3; ++round) {
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.request(i, start + seconds{10} + round * milliseconds{100});
    }
    CHECK(static_cast<double>(fleet.most()) <= most_in_span(30));
}

TEST_CASE("rate limit: it follows what the replica says", "[rate_limit]")
{
    limited_fleet fleet{8};
    send_evenly(fleet, 300, start, seconds{8});
    const auto before = fleet.total();
    fleet.limit(20);
    fleet.forget();
    send_evenly(fleet, 300, start + seconds{8}, seconds{8});
    CHECK(static_cast<double>(fleet.most()) <= most_in_span(20));
    fleet.limit(40);
    fleet.forget();
    send_evenly(fleet, 300, start + seconds{16}, seconds{8});
    CHECK(static_cast<double>(fleet.most()) <= most_in_span(40));
    CHECK(static_cast<double>(fleet.total()) >= 0.8 * 40 * 8);
    fleet.limit(std::nullopt);
    fleet.forget();
    send_evenly(fleet, 300, start + seconds{24}, seconds{8});
    CHECK(
        static_cast<double>(fleet.total()) >=
        0.9 * static_cast<double>(before));
}

TEST_CASE("rate limit: instances get what others leave of it", "[rate_limit]")
{
    struct example
    {
        std::size_t instances;
        std::size_t senders;
    };
    for (const auto& [instances, senders] :
         {example{8, 1}, example{8, 3}, example{79, 5}, example{740, 20}}) {
        limited_fleet fleet{instances};
        fleet.limit(30);
        send_to_first(fleet, senders, 400, start, seconds{10});
        fleet.forget();
        send_to_first(fleet, senders, 400, start + seconds{10}, seconds{20});
        INFO(senders << " of " << instances << " instances send");
        CHECK(static_cast<double>(fleet.total()) >= 0.75 * 30 * 20);
        CHECK(static_cast<double>(fleet.most()) <= most_in_span(30));
    }
}

TEST_CASE("rate limit: shares follow the requests", "[rate_limit]")
{
    limited_fleet fleet{8};
    fleet.limit(30);
    auto now = start;
    const auto step = [&](std::size_t first, std::size_t count) {
        random_source random{5};
        for (const auto end = now + seconds{20}; now < end;
             now += milliseconds{5})
            fleet.request(first + random.below(count), now);
    };
    step(0, 1);
    step(5, 1);
    step(0, 8);
    CHECK(static_cast<double>(fleet.most()) <= most_in_span(30));
    fleet.forget();
    step(0, 8);
    CHECK(static_cast<double>(fleet.total()) >= 0.75 * 30 * 20);
}

TEST_CASE(
    "rate limit: instances without a share hear that it has ended",
    "[rate_limit]")
{
    limited_fleet fleet{740};
    fleet.limit(4);
    send_to_first(fleet, 50, 400, start, seconds{20});
    REQUIRE(fleet.limited_instances() == 740);
    fleet.end_limit();
    send_to_first(fleet, 50, 400, start + seconds{20}, seconds{20});
    CHECK(fleet.limited_instances() <= 740 - 50);
}
