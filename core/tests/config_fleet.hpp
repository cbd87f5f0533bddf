#pragma once

#include <peridotward/core/configuration/config_store.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace peridotward::testing {

/// Model of the configuration service with faults.
struct service_model
{
    struct value
    {
        bundle_version version = 0;
        std::string text;
    };

    std::vector<value> history; ///< The last one is current.
    part_map parts;
    std::set<std::string> unavailable; ///< Digests of unavailable parts.
    bool down = false;
    bool stale = false; ///< Returns the value before the current one.

    [[nodiscard]] const std::string& current() const
    {
        const auto back = stale && history.size() > 1 ? 2U : 1U;
        return history[history.size() - back].text;
    }
};

/// Discrete-event simulation of the config stores of a fleet, the connections
/// between them and the configuration service.
class config_fleet
{
public:
    static constexpr duration link_delay = milliseconds{2};
    static constexpr duration service_delay = milliseconds{3};
    static constexpr duration tick = milliseconds{100};
    static constexpr duration probe_interval = seconds{1};
    static constexpr duration longest_watch = seconds{30};

    struct member
    {
        std::string instance_id;
        std::unique_ptr<config_store> store;
        std::uint64_t start_number = 0; ///< Counts starts; 0 before the first.
        bool paused = false;
        int side = 0; ///< Side of a network partition.
        /// Events that arrived during a pause.
        std::vector<std::function<void()>> deferred;
        std::uint64_t received_bytes = 0;
    };

    using accept_hook =
        std::function<void(const member&, const bundle_ptr& accepted)>;

    config_fleet(int size, sign_off_policy policy, std::uint64_t seed)
        : policy_{std::move(policy)}, random_{seed}
    {
        for (int i = 0; i < size; ++i) {
            auto added = std::make_unique<member>();
            added->instance_id = "pw-" + std::to_string(i);
            members_.push_back(std::move(added));
        }
    }

    service_model service;
    accept_hook on_accept = [](const member&, const bundle_ptr&) {};

    [[nodiscard]] time_point now() const { return now_; }
    [[nodiscard]] auto& members() { return members_; }

    /// Starts a member with an empty store.
    void start(member& target)
    {
        config_store_options options;
        options.self = target.instance_id;
        options.sign_off = policy_;
        target.store = std::make_unique<config_store>(
            std::move(options), now_, random_.next());
        target.paused = false;
        target.deferred.clear();
        const auto start_number = ++target.start_number;
        run_ticks(target, start_number);
        run_probes(target, start_number);
    }

    void start_all()
    {
        for (auto& entry : members_)
            start(*entry);
    }

    void pause(member& target) { target.paused = true; }

    void resume(member& target)
    {
        target.paused = false;
        for (auto& event : std::exchange(target.deferred, {}))
            at(now_, std::move(event));
    }

    void publish(bundle_version version, const manifest& root, part_map parts)
    {
        service.history.push_back({version, manifest_text(root)});
        service.parts.merge(parts);
        for (auto& watch : std::exchange(watches_, {}))
            at(now_ + service_delay, std::move(watch));
    }

    void run(duration span)
    {
        const auto end = now_ + span;
        while (!events_.empty() && events_.begin()->first <= end) {
            now_ = std::max(now_, events_.begin()->first);
            const auto event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
        now_ = end;
    }

private:
    void at(time_point due, std::function<void()> event)
    {
        events_.emplace(due, std::move(event));
    }

    /// Runs `work` after `delay`, or at the end of a pause, unless the member
    /// was restarted since start number `start_number`.
    void deliver(
        member& to,
        std::uint64_t start_number,
        duration delay,
        std::function<void()> work)
    {
        at(now_ + delay, [this, &to, start_number, work = std::move(work)] {
            if (to.start_number != start_number)
                return;
            if (to.paused)
                to.deferred.push_back([&to, start_number, work] {
                    if (to.start_number == start_number)
                        work();
                });
            else
                work();
        });
    }

    void run_ticks(member& target, std::uint64_t start_number)
    {
        deliver(target, start_number, tick, [this, &target, start_number] {
            target.store->set_live(reachable(target));
            carry_out(target, target.store->on_tick(now_));
            run_ticks(target, start_number);
        });
    }

    [[nodiscard]] std::vector<std::string> reachable(const member& from) const
    {
        std::vector<std::string> instances;
        for (const auto& other : members_) {
            if (other->store && !other->paused && other->side == from.side)
                instances.push_back(other->instance_id);
        }
        return instances;
    }

    void run_probes(member& target, std::uint64_t start_number)
    {
        deliver(
            target,
            start_number,
            probe_interval,
            [this, &target, start_number] {
                auto& other = *members_[random_.below(members_.size())];
                if (&other != &target) {
                    send_summary(target, other, true);
                }
                run_probes(target, start_number);
            });
    }

    void send_summary(member& from, member& to, bool answer)
    {
        if (!to.store || from.side != to.side)
            return;
        deliver(
            to,
            to.start_number,
            link_delay,
            [this, &from, &to, answer, sent = from.store->summary()] {
                carry_out(
                    to, to.store->on_summary(from.instance_id, sent, now_));
                if (answer && from.store)
                    send_summary(to, from, false);
            });
    }

    void carry_out(member& by, config_actions actions)
    {
        if (actions.accepted)
            on_accept(by, actions.accepted);
        for (auto& message : actions.messages)
            transmit(by, std::move(message));
        for (auto& read : actions.reads)
            make_read(by, std::move(read));
    }

    void transmit(member& from, outgoing_message sent)
    {
        for (auto& to : members_) {
            if (to->instance_id != sent.to || !to->store ||
                to->side != from.side)
                continue;
            deliver(
                *to,
                to->start_number,
                link_delay,
                [this, instance_id = from.instance_id, to = to.get(), sent] {
                    receive(*to, instance_id, sent.message);
                });
        }
    }

    void
    receive(member& to, const std::string& from, const peer_message& message)
    {
        if (const auto* fetch = std::get_if<config_fetch>(&message)) {
            carry_out(to, to.store->on_fetch(from, *fetch, now_));
        }
        else if (const auto* part = std::get_if<config_part>(&message)) {
            to.received_bytes += part->bytes.size() + part->digest.size();
            carry_out(to, to.store->on_part(from, *part, now_));
        }
    }

    void make_read(member& by, config_read read)
    {
        const auto start_number = by.start_number;
        const auto complete = [this, &by, start_number, read] {
            deliver(by, start_number, service_delay, [this, &by, read] {
                carry_out(by, by.store->on_read(read, answer(read), now_));
            });
        };
        const bool must_wait = read.kind == config_read_kind::watch &&
                               !service.down &&
                               read.after >= service.history.size();
        if (!must_wait) {
            complete();
            return;
        }
        auto completed = std::make_shared<bool>(false);
        const auto once = [complete, completed] {
            if (!std::exchange(*completed, true))
                complete();
        };
        watches_.push_back(once);
        at(now_ + longest_watch, once);
    }

    [[nodiscard]] config_read_result answer(const config_read& read) const
    {
        config_read_result read_result;
        if (service.down || service.history.empty())
            return read_result;
        if (read.kind == config_read_kind::part) {
            const auto found = service.parts.find(read.digest);
            read_result.succeeded = found != service.parts.end() &&
                                    !service.unavailable.contains(read.digest);
            read_result.bytes = read_result.succeeded ? found->second : "";
            return read_result;
        }
        read_result.succeeded = true;
        read_result.value_version = service.history.size();
        read_result.bytes = service.current();
        return read_result;
    }

    sign_off_policy policy_;
    random_source random_;
    time_point now_{std::chrono::hours{1}};
    std::vector<std::unique_ptr<member>> members_;
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<std::function<void()>> watches_;
};

} // namespace peridotward::testing
