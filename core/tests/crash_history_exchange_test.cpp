#include <peridotward/core/quarantine/crash_history_exchange.hpp>

#include <catch2/catch.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr milliseconds step_time{5};
constexpr milliseconds poll_interval{100};
/// Time from the arrival of a request until its instance knows of the crash.
constexpr milliseconds crash_time{40};
constexpr milliseconds answer_time{20};
/// The time within which the instances act on the third crash.
constexpr milliseconds contact_time{4000};
constexpr std::uint64_t crashing_path = 1;

constexpr request_fingerprints request(std::uint64_t caller, std::uint64_t path)
{
    return {
        request_fingerprint{1000 * path + caller},
        request_fingerprint{1000 * path}};
}

bool crashes(const request_fingerprints& sent)
{
    return sent.similar == request(0, crashing_path).similar;
}

/// Instances whose messages take one step and are lost at times.
class suspicious_fleet
{
    struct instance
    {
        instance(std::string name, std::uint64_t seed) : random{seed}
        {
            fleet.self = std::move(name);
        }

        crash_history history;
        random_source random;
        crash_history_exchange exchange{history, random};
        fleet_view fleet;
        bool reachable = true;
        time_point next_poll = start;
    };
    struct running_request
    {
        std::size_t at;
        request_fingerprints request;
        crash_history::marks sent_with;
        time_point ends;
    };

public:
    explicit suspicious_fleet(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            names_.push_back("instance-" + std::to_string(i));
            by_name_[names_.back()] = i;
        }
        for (std::size_t i = 0; i < size; ++i)
            instances_.push_back(make_instance(i, i + 1));
        run(seconds{6}); // Nobody has records to ask for any more.
        late_arrivals = 0;
    }

    [[nodiscard]] std::size_t size() const { return instances_.size(); }

    /// Runs the fleet; the crashing request comes each `interval`, and
    /// `harmless_count` other requests together `harmless_rate` times a second.
    void
    run(duration time,
        duration interval = {},
        double harmless_rate = 0,
        std::uint64_t harmless_count = 1)
    {
        auto next_crash = now_;
        auto next_harmless = now_;
        for (const auto until = now_ + time; now_ < until; now_ += step_time) {
            if (interval > duration{} && now_ >= next_crash) {
                next_crash += interval;
                send(
                    random_.below(size()),
                    request(random_.below(crashing_callers), crashing_path));
            }
            while (harmless_rate > 0 && now_ >= next_harmless) {
                next_harmless += microseconds{
                    static_cast<std::int64_t>(1e6 / harmless_rate)};
                send(
                    random_.below(size()),
                    request(1, 2 + random_.below(harmless_count)));
            }
            step();
        }
    }

    void send(std::size_t at, const request_fingerprints& sent)
    {
        auto& receiver = *instances_[at];
        if (receiver.history.trust(sent, now_) == request_trust::quarantined) {
            harmless_refused += crashes(sent) ? 0 : 1;
            return;
        }
        if (crashes(sent)) {
            ++arrivals;
            late_arrivals +=
                third_crash_ && now_ > *third_crash_ + contact_time ? 1 : 0;
        }
        running_.push_back(
            {at,
             sent,
             receiver.history.marks_of(sent, now_),
             now_ + (crashes(sent) ? crash_time : answer_time)});
    }

    /// An instance that has just started takes the place.
    void restart(std::size_t index)
    {
        instances_[index] = make_instance(index, 10000 + index);
        instances_[index]->next_poll = now_;
    }

    /// Cuts the instance off from the others, or ends that.
    void set_reachable(std::size_t index, bool reachable)
    {
        auto& changed = *instances_[index];
        changed.reachable = reachable;
        changed.fleet.others =
            reachable ? others_of(index) : std::vector<std::string>{};
    }

    [[nodiscard]] bool quarantines(std::size_t index) const
    {
        return instances_[index]->history.trust(
                   request(0, crashing_path), now_) ==
               request_trust::quarantined;
    }

    [[nodiscard]] std::size_t quarantining() const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < size(); ++i)
            count += quarantines(i) ? 1 : 0;
        return count;
    }

    /// Callers that send the crashing request, at random.
    std::uint64_t crashing_callers = 1;
    std::size_t arrivals = 0;
    std::size_t late_arrivals = 0;
    std::size_t harmless_refused = 0;
    std::size_t messages = 0;

private:
    struct message_in_flight
    {
        std::size_t from;
        outgoing_message message;
    };

    std::vector<std::string> others_of(std::size_t index) const
    {
        auto others = names_;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
        return others;
    }

    std::unique_ptr<instance>
    make_instance(std::size_t index, std::uint64_t seed)
    {
        auto made = std::make_unique<instance>(names_[index], seed);
        made->fleet.others = others_of(index);
        return made;
    }

    void step()
    {
        for (auto& [from, sent] : std::exchange(in_flight_, {})) {
            const auto to = by_name_.at(sent.to);
            ++messages;
            if (random_.below(10) == 0 || !instances_[from]->reachable ||
                !instances_[to]->reachable)
                continue;
            std::vector<outgoing_message> out;
            instances_[to]->exchange.on_message(
                names_[from], std::get<crash_records>(sent.message), now_, out);
            queue(to, std::move(out));
        }
        end_requests();
        for (std::size_t i = 0; i < size(); ++i) {
            if (now_ >= instances_[i]->next_poll)
                poll(i);
        }
    }

    void end_requests()
    {
        std::vector<running_request> ended;
        std::erase_if(running_, [&](const running_request& each) {
            if (each.ends <= now_)
                ended.push_back(each);
            return each.ends <= now_;
        });
        bool crashed = false;
        for (const auto& each : ended) {
            auto& history = instances_[each.at]->history;
            if (!crashes(each.request)) {
                history.on_answered(each.request, now_);
                continue;
            }
            crashed = true;
            third_crash_ = ++crashes_ == 3 ? std::optional{now_} : third_crash_;
            history.on_crash(each.request, each.sent_with, now_);
            poll(each.at);
        }
        if (!crashed)
            return;
        // The upstream that crashed was running all other requests too.
        for (const auto& each : std::exchange(running_, {})) {
            if (crashes(each.request)) {
                running_.push_back(each);
                continue;
            }
            instances_[each.at]->history.on_crash(
                each.request, each.sent_with, now_);
        }
    }

    void poll(std::size_t index)
    {
        auto& polled = *instances_[index];
        polled.next_poll = now_ + poll_interval;
        std::vector<outgoing_message> out;
        polled.exchange.poll(polled.fleet, now_, out);
        queue(index, std::move(out));
    }

    void queue(std::size_t from, std::vector<outgoing_message> sent)
    {
        for (auto& message : sent)
            in_flight_.push_back({from, std::move(message)});
    }

    std::vector<std::string> names_;
    std::unordered_map<std::string, std::size_t> by_name_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::vector<message_in_flight> in_flight_;
    std::vector<running_request> running_;
    random_source random_{13};
    time_point now_ = start;
    std::size_t crashes_ = 0;
    std::optional<time_point> third_crash_;
};

} // namespace

// Guards against a request that goes on crashing upstreams since each instance
// knows only the crashes of its own.
TEST_CASE(
    "crash exchange: a request that crashes upstreams is refused by all",
    "[quarantine]")
{
    for (const std::size_t size : {1U, 8U, 79U, 740U}) {
        for (const auto interval :
             {milliseconds{50}, milliseconds{300}, milliseconds{6000}}) {
            for (const std::uint64_t callers : {1U, 2U, 3U, 500U}) {
                suspicious_fleet fleet{size};
                fleet.crashing_callers = callers;
                fleet.run(seconds{40}, interval);
                INFO(
                    size << " instances, each " << interval.count()
                         << " ms from " << callers << " callers");
                CHECK(fleet.late_arrivals <= 3);
                CHECK(fleet.quarantining() == size);
            }
        }
    }
}

// Guards against harmless requests that are refused since they run where a
// crashing one does.
TEST_CASE(
    "crash exchange: requests that run at crashing upstreams are not refused",
    "[quarantine]")
{
    struct example
    {
        std::size_t instances;
        double rate;
        std::uint64_t requests;
    };
    for (const auto& [instances, rate, requests] :
         {example{8, 200, 1},
          example{8, 200, 50},
          example{8, 2, 1},
          example{79, 200, 5},
          example{740, 200, 5},
          example{740, 2, 1}}) {
        suspicious_fleet fleet{instances};
        fleet.run(seconds{30}, milliseconds{300}, rate, requests);
        INFO(
            requests << " requests " << rate << " times a second at "
                     << instances << " instances");
        CHECK(fleet.harmless_refused == 0);
        CHECK(fleet.late_arrivals <= 3);
    }
}

TEST_CASE(
    "crash exchange: instances that start or were cut off learn of it",
    "[quarantine]")
{
    for (const std::size_t size : {8U, 79U, 740U}) {
        suspicious_fleet fleet{size};
        fleet.set_reachable(0, false);
        fleet.run(seconds{20}, milliseconds{300});
        REQUIRE(fleet.quarantining() >= size - 1);
        fleet.set_reachable(0, true);
        for (std::size_t i = 1; i <= size / 4; ++i)
            fleet.restart(i);
        fleet.run(contact_time);
        INFO(size << " instances");
        CHECK(fleet.quarantining() == size);
    }
}

TEST_CASE("crash exchange: nothing is sent without a crash", "[quarantine]")
{
    suspicious_fleet fleet{79};
    const auto before = fleet.messages;
    fleet.run(seconds{10}, {}, 200, 50);
    CHECK(fleet.messages == before);
}
