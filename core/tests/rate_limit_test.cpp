#include <peridotward/core/placement/replica_selector.hpp>

#include <catch2/catch.hpp>

#include <deque>
#include <memory>

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
public:
    explicit limited_fleet(std::size_t size)
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < size; ++i)
            names.push_back("instance-" + std::to_string(i));
        for (const auto& name : names)
            instances_.push_back(std::make_unique<instance>(name, names));
    }

    void limit(std::optional<double> per_second)
    {
        for (const auto& each : instances_)
            each->catalog.at(0).rate_limit = per_second;
    }

    /// An attempt of the instance `sender`.
    void request(std::size_t sender, time_point now)
    {
        auto& from = *instances_[sender];
        const auto chosen =
            from.selector.choose(service_, {}, {}, from.fleet, now);
        if (chosen != replica_number{0})
            return;
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
    struct instance
    {
        instance(const std::string& name, const std::vector<std::string>& all)
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
        random_source random{7};
        replica_selector selector{catalog, cold_bounds{}, "d", random};
        fleet_view fleet;
    };

    forward_service service_{"s", "/", 0, {}, 0};
    std::vector<std::unique_ptr<instance>> instances_;
    std::deque<time_point> sent_;
    std::size_t most_ = 0;
    std::size_t total_ = 0;
};

/// `per_second` requests at random instances.
void send_evenly(
    limited_fleet& fleet, double per_second, time_point from, seconds time)
{
    random_source random{3};
    const auto mean = 1e6 / per_second;
    for (auto now = from; now < from + time;
         now +=
         microseconds{random.below(static_cast<std::uint64_t>(2 * mean))})
        fleet.request(random.below(fleet.size()), now);
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
