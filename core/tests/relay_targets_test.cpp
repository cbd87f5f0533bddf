#include <peridotward/core/membership/relay_targets.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <utility>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr std::size_t max_targets = 3;

instance_candidate instance(std::size_t number)
{
    instance_candidate made;
    made.id = "instance-" + std::to_string(number);
    made.usable = true;
    made.capacity = 250;
    return made;
}

/// Instances of which the first ones are cut off and relay their requests. The
/// others hear that an instance is cut off one second after it has relayed its
/// first request.
class relaying_fleet
{
    struct relaying_instance
    {
        explicit relaying_instance(std::uint64_t seed) : random{seed} {}

        random_source random;
        relay_targets targets{random};
        std::optional<time_point> replaced_at;
    };
    struct open_request
    {
        time_point ends;
        std::size_t from;
        std::string to;
    };

public:
    relaying_fleet(std::size_t size, std::size_t cut_off) : cut_off_{cut_off}
    {
        for (std::size_t i = 0; i < size; ++i) {
            all_.push_back(instance(i));
            instances_.push_back(std::make_unique<relaying_instance>(i + 1));
        }
    }

    /// Sends `per_second` requests at random instances that are cut off.
    void run(double per_second, seconds time)
    {
        const auto until = now_ + time;
        const auto gap =
            microseconds{static_cast<std::int64_t>(1e6 / per_second)};
        for (; now_ < until; now_ += gap) {
            while (!open_.empty() && open_.front().ends <= now_) {
                const auto& ended = open_.front();
                instances_[ended.from]->targets.on_end(
                    ended.to, relay_result::served, now_);
                open_.pop_front();
            }
            send(random_.below(cut_off_));
        }
    }

    std::size_t sent = 0;
    std::size_t served = 0;
    std::map<std::string, std::size_t> served_by;

private:
    [[nodiscard]] std::vector<instance_candidate> serving() const
    {
        std::vector<instance_candidate> listed;
        for (std::size_t i = 0; i < all_.size(); ++i) {
            const auto& replaced_at = instances_[i]->replaced_at;
            if (!replaced_at || now_ < *replaced_at + seconds{1})
                listed.push_back(all_[i]);
        }
        return listed;
    }

    void send(std::size_t from)
    {
        ++sent;
        auto& sender = *instances_[from];
        std::vector<std::string> tried;
        while (tried.size() < max_targets) {
            const auto target =
                sender.targets.choose(serving(), all_[from].id, tried, now_);
            if (!target)
                return;
            tried.push_back(target->id);
            const auto number =
                std::find_if(
                    all_.begin(),
                    all_.end(),
                    [&](const auto& each) { return each.id == target->id; }) -
                all_.begin();
            if (static_cast<std::size_t>(number) < cut_off_) {
                sender.targets.on_end(target->id, relay_result::cut_off, now_);
                continue;
            }
            ++served;
            ++served_by[target->id];
            sender.replaced_at = sender.replaced_at.value_or(now_);
            open_.push_back({now_ + milliseconds{50}, from, target->id});
            return;
        }
    }

    std::size_t cut_off_;
    std::vector<instance_candidate> all_;
    std::vector<std::unique_ptr<relaying_instance>> instances_;
    std::deque<open_request> open_;
    random_source random_{3};
    time_point now_ = start;
};

} // namespace

// Guards against instances that fell since all others that are cut off use
// them, and against requests that are relayed in vain.
TEST_CASE(
    "relay targets: the requests are spread over the connected instances",
    "[relay]")
{
    for (const std::size_t size : {8U, 79U, 740U}) {
        for (const double share : {0.25, 0.6}) {
            const auto cut_off =
                static_cast<std::size_t>(share * static_cast<double>(size));
            relaying_fleet fleet{size, cut_off};
            fleet.run(200, seconds{4});
            fleet.sent = 0;
            fleet.served = 0;
            fleet.served_by.clear();
            fleet.run(400, seconds{20});
            INFO(cut_off << " of " << size << " cut off");
            CHECK(fleet.served * 100 >= fleet.sent * 98);
            CHECK(fleet.served_by.size() == size - cut_off);
            const double mean = static_cast<double>(fleet.served) /
                                static_cast<double>(size - cut_off);
            for (const auto& [id, count] : fleet.served_by)
                CHECK(static_cast<double>(count) <= 2 * mean + 10);
        }
    }
}

TEST_CASE("relay targets: the load and the size of instances count", "[relay]")
{
    random_source random{5};
    relay_targets targets{random};
    std::vector<instance_candidate> serving;
    for (std::size_t i = 0; i < 4; ++i)
        serving.push_back(instance(i));
    serving[1].load = member_load::full;
    serving[2].capacity = 500;
    std::map<std::string, std::size_t> chosen;
    for (int i = 0; i < 1000; ++i) {
        const auto target = targets.choose(serving, "self", {}, start);
        REQUIRE(target);
        ++chosen[target->id];
        targets.on_end(target->id, relay_result::served, start);
    }
    CHECK(chosen["instance-1"] < 50);
    CHECK(chosen["instance-2"] > chosen["instance-0"]);
    CHECK(chosen["instance-0"] > 100);
}

TEST_CASE("relay targets: an instance that failed is avoided", "[relay]")
{
    random_source random{5};
    relay_targets targets{random};
    const std::vector<instance_candidate> serving{instance(0), instance(1)};
    CHECK_FALSE(targets.choose({serving[0]}, "instance-0", {}, start));
    REQUIRE(targets.choose({serving[0]}, "self", {}, start));
    targets.on_end("instance-0", relay_result::failed, start);
    for (int i = 0; i < 20; ++i) {
        const auto target = targets.choose(serving, "self", {}, start);
        REQUIRE(target);
        CHECK(target->id == "instance-1");
    }
    const std::vector<std::string> tried{"instance-1"};
    CHECK_FALSE(targets.choose(serving, "self", tried, start));
    CHECK(targets.choose(
        serving, "self", tried, start + relay_targets::failure_time));
    for (std::uint32_t i = 20; i < relay_targets::max_open; ++i)
        CHECK(targets.choose({serving[1]}, "self", {}, start));
    CHECK_FALSE(targets.choose({serving[1]}, "self", {}, start));
}

// Guards against an instance that is cut off without knowing it yet: refusing
// at once, it looks the least loaded.
TEST_CASE(
    "relay targets: an instance that can't run requests gets few", "[relay]")
{
    random_source random{5};
    relay_targets targets{random};
    const std::vector<instance_candidate> serving{instance(0), instance(1)};
    REQUIRE(targets.choose({serving[0]}, "self", {}, start));
    targets.on_end("instance-0", relay_result::not_run, start);
    const auto count_first = [&](time_point now) {
        std::size_t first = 0;
        for (int i = 0; i < 1000; ++i) {
            const auto target = targets.choose(serving, "self", {}, now);
            REQUIRE(target);
            first += target->id == "instance-0" ? 1 : 0;
            targets.on_end(target->id, relay_result::served, now);
        }
        return first;
    };
    CHECK(count_first(start) < 50);
    CHECK(count_first(start + relay_targets::not_run_time) > 300);
    CHECK(targets.choose({serving[0]}, "self", {}, start));
}
