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

/// The configuration service, with its faults.
struct service_model
{
    struct value
    {
        bundle_version version = 0;
        std::string text;
    };

    std::vector<value> history; ///< The last one is current.
    part_map parts;
    std::set<std::string> lost; ///< Digests that it does not give.
    bool down = false;
    bool stale = false; ///< Gives the value before the current one.

    [[nodiscard]] const std::string& current() const
    {
        const auto back = stale && history.size() > 1 ? 2U : 1U;
        return history[history.size() - back].text;
    }
};

/// Instances, their link and the service in virtual time.
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
        std::uint64_t life = 0; ///< Counts starts; 0 before the first.
        bool paused = false;
        int side = 0;                            ///< Of a partition.
        std::vector<std::function<void()>> held; ///< While paused.
        std::uint64_t received_bytes = 0;
    };

    using accept_hook =
        std::function<void(const member&, const bundle_ptr& accepted)>;

    config_fleet(int size, sign_off_policy policy, std::uint64_t seed)
        : policy_{std::move(policy)}, random_{seed}
    {
        for (int i = 0; i < size; ++i) {
            auto entry = std::make_unique<member>();
            entry->instance_id = "pw-" + std::to_string(i);
            members_.push_back(std::move(entry));
        }
    }

    service_model service;
    accept_hook on_accept = [](const member&, const bundle_ptr&) {};

    [[nodiscard]] time_point now() const { return now_; }
    [[nodiscard]] auto& members() { return members_; }

    /// Starts a member without memory.
    void start(member& which)
    {
        config_store_options options;
        options.self = which.instance_id;
        options.sign_off = policy_;
        which.store = std::make_unique<config_store>(
            std::move(options), now_, random_.next());
        which.paused = false;
        which.held.clear();
        const auto life = ++which.life;
        run_ticks(which, life);
        run_probes(which, life);
    }

    void start_all()
    {
        for (auto& entry : members_)
            start(*entry);
    }

    void pause(member& which) { which.paused = true; }

    void resume(member& which)
    {
        which.paused = false;
        for (auto& event : std::exchange(which.held, {}))
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

    /// Runs `work` for one life of a member, after its pause if it has one.
    void deliver(
        member& to,
        std::uint64_t life,
        duration delay,
        std::function<void()> work)
    {
        at(now_ + delay, [this, &to, life, work = std::move(work)] {
            if (to.life != life)
                return;
            if (to.paused)
                to.held.push_back([&to, life, work] {
                    if (to.life == life)
                        work();
                });
            else
                work();
        });
    }

    void run_ticks(member& which, std::uint64_t life)
    {
        deliver(which, life, tick, [this, &which, life] {
            which.store->set_live(reachable(which));
            carry_out(which, which.store->on_tick(now_));
            run_ticks(which, life);
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

    void run_probes(member& which, std::uint64_t life)
    {
        deliver(which, life, probe_interval, [this, &which, life] {
            auto& other = *members_[random_.below(members_.size())];
            if (&other != &which) {
                send_summary(which, other, true);
            }
            run_probes(which, life);
        });
    }

    void send_summary(member& from, member& to, bool answer)
    {
        if (!to.store || from.side != to.side)
            return;
        deliver(
            to,
            to.life,
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
                to->life,
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
        const auto life = by.life;
        const auto finish = [this, &by, life, read] {
            deliver(by, life, service_delay, [this, &by, read] {
                carry_out(by, by.store->on_read(read, answer(read), now_));
            });
        };
        const bool waits = read.kind == config_read_kind::watch &&
                           !service.down &&
                           read.after >= service.history.size();
        if (!waits) {
            finish();
            return;
        }
        auto done = std::make_shared<bool>(false);
        const auto once = [finish, done] {
            if (!std::exchange(*done, true))
                finish();
        };
        watches_.push_back(once);
        at(now_ + longest_watch, once);
    }

    [[nodiscard]] config_read_result answer(const config_read& read) const
    {
        config_read_result ended;
        if (service.down || service.history.empty())
            return ended;
        if (read.kind == config_read_kind::part) {
            const auto found = service.parts.find(read.digest);
            ended.succeeded = found != service.parts.end() &&
                              !service.lost.contains(read.digest);
            ended.bytes = ended.succeeded ? found->second : "";
            return ended;
        }
        ended.succeeded = true;
        ended.value_version = service.history.size();
        ended.bytes = service.current();
        return ended;
    }

    sign_off_policy policy_;
    random_source random_;
    time_point now_{std::chrono::hours{1}};
    std::vector<std::unique_ptr<member>> members_;
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<std::function<void()>> watches_;
};

} // namespace peridotward::testing
