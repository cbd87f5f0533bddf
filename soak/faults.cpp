#include "late_requests.hpp"
#include "soak_environment.hpp"

#include <peridotward/base/json.hpp>

#include <algorithm>
#include <csignal>
#include <random>

namespace peridotward::soak {

using testing::endless_bytes;

namespace {

constexpr int max_stop_ms = 6500;
constexpr milliseconds crash_delay{30};
constexpr milliseconds restart_delay{2000};
/// Share of the requests that all replicas of a service refuse, and of their
/// answers that are sent twice meanwhile. A refused request comes to the same
/// replica again only if the others refuse it, too.
constexpr double service_shed_share = 0.6;
constexpr double shed_copy_share = 0.2;
/// Servers of other programs, and the port of the first one.
constexpr std::uint16_t foreign_servers = 4;
constexpr std::uint16_t first_foreign_port = 13000;
/// The part of a fleet that returns first.
constexpr std::size_t first_part_divisor = 3;

} // namespace

void soak_environment::impair_link(
    random_source& random, proxy& link, int instance)
{
    const auto from = steady::now();
    link_fault fault;
    switch (random.below(4)) {
    case 0:
        fault.delay = milliseconds{50 + random.below(300)};
        break;
    case 1:
        fault.cut_forward = true;
        break;
    case 2:
        fault.cut_back = true;
        break;
    default:
        fault.cut_forward = true;
        fault.cut_back = true;
        break;
    }
    run_on_standin_thread([&] {
        if (random.below(2) == 0)
            link.reset();
        link.set_fault(fault);
    });
    sleep_random(random, milliseconds{500}, 1500);
    run_on_standin_thread([&] {
        link.set_fault({});
        link.reset();
    });
    if (instance >= 0)
        record_disturbance_since(instance, from);
}

void soak_environment::impair_replica(random_source& random)
{
    const auto replica = reserve_replica(random);
    if (random.below(2) == 0)
        impair_link(random, *replica_links_[replica->link], no_instance);
    else {
        run_on_standin_thread([&] {
            replica->shed_share = random.unit() * 0.6;
            replica->break_share = random.unit() * 0.4;
            replica->hang_share = random.unit() * 0.2;
        });
        sleep_random(random, milliseconds{500}, 1500);
        run_on_standin_thread([&] {
            replica->shed_share = 0;
            replica->break_share = base_break_share;
            replica->hang_share = 0;
        });
    }
    release_replica(replica);
}

void soak_environment::pause_instance(random_source& random)
{
    const int instance = random_instance(random);
    const auto from = steady::now();
    fleet_->signal(instance, SIGSTOP);
    sleep_random(random, milliseconds{300}, 2500);
    fleet_->signal(instance, SIGCONT);
    record_disturbance_since(instance, from, disturbance_kind::paused);
}

void soak_environment::kill_instance(random_source& random)
{
    const int instance = random_instance(random);
    const auto from = steady::now();
    fleet_->signal(instance, SIGKILL);
    fleet_->wait_for_exit(instance, max_stop_ms);
    sleep_random(random, milliseconds{100}, 800);
    fleet_->start(instance);
    sleep_random(random, milliseconds{300}, 300);
    record_disturbance_since(instance, from, disturbance_kind::restarted);
}

void soak_environment::stop_instance(random_source& random)
{
    restart_by_signal(random_instance(random), random);
}

void soak_environment::restart_by_signal(int instance, random_source& random)
{
    const auto from = steady::now();
    fleet_->signal(instance, SIGTERM);
    if (random.below(3) == 0)
        fleet_->signal(instance, SIGTERM);
    if (!fleet_->wait_for_exit(instance, max_stop_ms)) {
        attempt_record overdue;
        overdue.id = "overdue";
        overdue.path = "/read/";
        overdue.instance = instance;
        overdue.sent = overdue.ended = from;
        overdue.status = 200;
        checker_.record_attempt(std::move(overdue));
    }
    record_disturbance_since(instance, from, disturbance_kind::planned_stop);
    fleet_->start(instance);
    const auto started = steady::now();
    sleep_random(random, milliseconds{300}, 300);
    record_disturbance_since(instance, started, disturbance_kind::restarted);
}

void soak_environment::stop_with_late_requests(random_source& random)
{
    int instance = 0;
    {
        // Other stops overlap with this one, of other instances.
        const std::lock_guard lock{stops_mutex_};
        do
            instance = random_instance(random);
        while (stopping_.contains(instance));
        stopping_.insert(instance);
    }
    // The start of an instance excuses what follows it for a while.
    std::this_thread::sleep_for(invariant_checker::recovery_allowance);
    late_requests requests{checker_, *fleet_, instance, random};
    sleep_random(random, milliseconds{500}, 3000);
    requests.start(steady::now());
    restart_by_signal(instance, random);
    requests.wait();
    const std::lock_guard lock{stops_mutex_};
    stopping_.erase(instance);
}

void soak_environment::restart_replicas()
{
    for (const auto& replica : replicas_.all()) {
        for (auto* links : {&replica_links_, &second_replica_links_})
            (*links)[replica->link]->reset();
        store_.remove("servers/" + replica->id);
        replica->id += "p";
        ++replica->start_id;
        replicas_.publish(*replica);
    }
}

void soak_environment::end_all(random_source& random)
{
    // The fault often follows a change of the configuration.
    if (random.below(2) == 0) {
        change_config(random);
        sleep_random(random, milliseconds{0}, 40);
    }
    const auto from = steady::now();
    const bool with_replicas = random.below(3) == 0;
    std::vector<int> order;
    for (int i = 0; i < options_->instances; ++i) {
        fleet_->signal(i, SIGKILL);
        order.push_back(i);
    }
    std::shuffle(order.begin(), order.end(), std::mt19937_64{random.next()});
    for (const int instance : order)
        fleet_->wait_for_exit(instance, max_stop_ms);
    sleep_random(random, milliseconds{100}, 1000);
    if (with_replicas)
        run_on_standin_thread([&] { restart_replicas(); });
    // Sometimes a part of the fleet returns first, and gets all callers.
    const auto first_part =
        random.below(2) == 0
            ? order.size()
            : (order.size() + first_part_divisor - 1) / first_part_divisor;
    for (std::size_t i = 0; i < order.size(); ++i) {
        if (i == first_part)
            sleep_random(random, milliseconds{500}, 2000);
        fleet_->start(order[i]);
        sleep_random(
            random,
            milliseconds{0},
            1 + 300 / static_cast<std::uint64_t>(options_->instances));
    }
    for (const int instance : order)
        record_disturbance_since(instance, from, disturbance_kind::restarted);
    std::this_thread::sleep_for(invariant_checker::settle_time);
    checker_.record_recovery(steady::now() + invariant_checker::checked_time);
    std::this_thread::sleep_for(invariant_checker::checked_time);
}

void soak_environment::evacuate(random_source& random)
{
    const auto domain =
        "d" + std::to_string(random.below(replicas_per_service));
    run_on_standin_thread([&] { store_.put("op/evacuate/" + domain, "{}"); });
    checker_.record_evacuation(domain, true);
    sleep_random(random, milliseconds{1000}, 6500);
    checker_.record_evacuation(domain, false);
    run_on_standin_thread([&] { store_.remove("op/evacuate/" + domain); });
}

void soak_environment::replace_replica(random_source& random)
{
    const auto replica = reserve_replica(random);
    const std::string old_id = replica->id;
    run_on_standin_thread([&] { replicas_.publish(*replica, true); });
    checker_.record_drain(old_id);
    sleep_random(random, milliseconds{1000}, 3500);
    run_on_standin_thread([&] {
        store_.remove("servers/" + old_id);
        // Another replica starts at the same address.
        replica->id = old_id + "n";
        ++replica->start_id;
        replicas_.publish(*replica);
    });
    release_replica(replica);
}

void soak_environment::change_config(random_source& random)
{
    std::string path;
    run_on_standin_thread([&] {
        path = "/v" + std::to_string(config_version_) + "/";
        added_paths_.push_back(path);
        if (random.below(3) == 0)
            store_.compact();
        publish_config();
    });
    checker_.record_publication(path);
    callers_->add_path(path);
}

void soak_environment::store_outage(random_source& random)
{
    const auto from = steady::now();
    run_on_standin_thread([&] { store_.set_down(true); });
    sleep_random(random, milliseconds{500}, 2500);
    run_on_standin_thread([&] { store_.set_down(false); });
    record_disturbance_since(all_instances, from);
}

void soak_environment::return_store(random_source& random)
{
    // Several returns in series overlap with what is written again.
    for (auto returns = 1 + random.below(3); returns > 0; --returns) {
        run_on_standin_thread([&] { store_.take_copy(); });
        sleep_random(random, milliseconds{100}, 2000);
        if (random.below(2) == 0)
            change_config(random);
        sleep_random(random, milliseconds{0}, 600);
        const auto from = steady::now();
        run_on_standin_thread([&] { store_.set_away(true); });
        sleep_random(random, milliseconds{20}, 800);
        std::vector<testing::lost_write> lost;
        run_on_standin_thread([&] {
            lost = store_.restore_copy();
            store_.set_away(false);
        });
        // The operator goes on writing before the lost changes are back.
        if (random.below(4) > 0)
            change_config(random);
        std::shuffle(lost.begin(), lost.end(), std::mt19937_64{random.next()});
        for (const auto& write : lost) {
            if (random.below(2) == 0)
                sleep_random(random, milliseconds{0}, 300);
            run_on_standin_thread([&] { store_.write_again(write); });
        }
        record_disturbance_since(all_instances, from);
    }
    // Only what is sent after this time without another fault of the store
    // shows whether an instance has missed a change.
    if (random.below(2) == 0)
        std::this_thread::sleep_for(
            invariant_checker::recovery_allowance + milliseconds{1500});
}

std::shared_ptr<replica_standin>
soak_environment::reserve_replica(random_source& random)
{
    std::shared_ptr<replica_standin> reserved;
    run_on_standin_thread([&] {
        auto& all = replicas_.all();
        do
            reserved = all[random.below(all.size())];
        while (reserved->has_fault);
        reserved->has_fault = true;
    });
    return reserved;
}

void soak_environment::release_replica(
    const std::shared_ptr<replica_standin>& replica)
{
    run_on_standin_thread([&] { replica->has_fault = false; });
}

void soak_environment::leave_by_answer(random_source& random)
{
    const auto replica = reserve_replica(random);
    const std::string old_id = replica->id;
    run_on_standin_thread([&] { replica->leaving = true; });
    // Serves on beyond the bound, so that requests sent too late are seen.
    sleep_random(random, invariant_checker::drain_bound, 2500);
    if (random.below(2) == 0)
        run_on_standin_thread([&] { replicas_.publish(*replica, true); });
    sleep_random(random, milliseconds{300}, 500);
    run_on_standin_thread([&] {
        // Another start has the address; sometimes with the same id.
        if (random.below(2) == 0) {
            store_.remove("servers/" + old_id);
            replica->id += "l";
        }
        replica->leaving = false;
        ++replica->start_id;
        replicas_.publish(*replica);
    });
    release_replica(replica);
}

void soak_environment::pause_replicas(random_source& random)
{
    // One replica, or all of a shard.
    std::vector<std::shared_ptr<replica_standin>> paused{
        reserve_replica(random)};
    const auto length = milliseconds{1200 + random.below(2500)};
    const bool whole_shard = random.below(3) == 0;
    run_on_standin_thread([&] {
        for (const auto& other : replicas_.all()) {
            if (whole_shard && !other->has_fault &&
                other->service == paused.front()->service) {
                other->has_fault = true;
                paused.push_back(other);
            }
        }
        for (const auto& replica : paused)
            replica->pause = length;
    });
    sleep_random(random, milliseconds{300}, 1200);
    run_on_standin_thread([&] {
        for (const auto& replica : paused)
            replica->pause = {};
    });
    // Other faults would excuse requests that are sent too early.
    std::this_thread::sleep_for(length);
    for (const auto& replica : paused)
        release_replica(replica);
}

void soak_environment::limit_rate(random_source& random)
{
    const auto replica = reserve_replica(random);
    const auto per_second = static_cast<double>(1 + random.below(15));
    run_on_standin_thread([&] { replica->rate_limit = per_second; });
    sleep_random(random, milliseconds{6000}, 4000);
    run_on_standin_thread([&] {
        // A limit of another height belongs to another start.
        replica->rate_limit = 0;
        ++replica->start_id;
        replicas_.publish(*replica);
    });
    release_replica(replica);
}

void soak_environment::crash(const std::shared_ptr<replica_standin>& replica)
{
    const auto set_open = [this, replica](bool open) {
        for (auto* links : {&replica_links_, &second_replica_links_}) {
            auto& link = *(*links)[replica->link];
            const bool cut =
                links == &second_replica_links_ && second_links_cut_;
            if (!open) {
                link.close();
                link.reset();
            }
            else if (!cut)
                link.open();
        }
    };
    auto end =
        std::make_shared<testing::net::steady_timer>(context_, crash_delay);
    end->async_wait([end, set_open, replica, this](auto) {
        checker_.record_crash(replica->start_name());
        set_open(false);
    });
    auto restart = std::make_shared<testing::net::steady_timer>(
        context_, crash_delay + restart_delay);
    restart->async_wait([this, restart, replica, set_open](auto) {
        store_.remove("servers/" + replica->id);
        replica->id += "c";
        ++replica->start_id;
        replica->crashing = false;
        set_open(true);
        replicas_.publish(*replica);
    });
}

void soak_environment::send_crashing_requests(random_source& random)
{
    const auto path = std::string{invariant_checker::brittle_path} + "crash-" +
                      std::to_string(random.next());
    const auto interval = milliseconds{200 + random.below(400)};
    for (int i = 0; i < 25; ++i) {
        attempt_record record;
        record.id = path + "-" + std::to_string(i);
        record.path = path;
        record.instance = random_instance(random);
        callers_->send_once(std::move(record));
        std::this_thread::sleep_for(interval);
    }
}

void soak_environment::cut_from_replicas(random_source& random)
{
    const bool reset = random.below(2) == 0;
    const auto from = steady::now();
    run_on_standin_thread([&] {
        second_links_cut_ = true;
        for (const auto& link : second_replica_links_) {
            link->close();
            if (reset)
                link->reset();
            else
                link->set_fault({{}, true, true});
        }
    });
    sleep_random(random, milliseconds{5500}, 3000);
    run_on_standin_thread([&] {
        second_links_cut_ = false;
        for (const auto& replica : replicas_.all()) {
            auto& link = *second_replica_links_[replica->link];
            link.set_fault({});
            link.reset();
            if (!replica->crashing)
                link.open();
        }
    });
    for (int i = 0; i < options_->instances; ++i) {
        if (uses_second_links(i))
            record_disturbance_since(i, from, disturbance_kind::cut_off);
    }
}

void soak_environment::inject_fault(
    const std::vector<fault_kind>& kinds, random_source& random)
{
    const auto& chosen = kinds[random.below(kinds.size())];
    {
        const std::lock_guard lock{faults_mutex_};
        injected_faults_ += injected_faults_.empty()
                                ? chosen.name
                                : std::string{", "} + chosen.name;
    }
    chosen.action(random);
}

std::vector<fault_kind> soak_environment::process_faults()
{
    return {
        {"pause", [&](auto& random) { pause_instance(random); }},
        {"kill", [&](auto& random) { kill_instance(random); }},
        {"stop", [&](auto& random) { stop_instance(random); }},
        {"reload",
         [&](auto& random) {
             fleet_->signal(random_instance(random), SIGHUP);
         }},
    };
}

std::vector<fault_kind> soak_environment::environment_faults()
{
    return {
        {"store link",
         [&](auto& random) {
             const int instance = random_instance(random);
             impair_link(
                 random,
                 *store_links_[static_cast<std::size_t>(instance)],
                 instance);
         }},
        {"replica", [&](auto& random) { impair_replica(random); }},
        {"evacuate", [&](auto& random) { evacuate(random); }},
        {"replace", [&](auto& random) { replace_replica(random); }},
        {"config", [&](auto& random) { change_config(random); }},
    };
}

std::vector<fault_kind> soak_environment::store_faults()
{
    return {
        {"store outage", [&](auto& random) { store_outage(random); }},
        {"store return", [&](auto& random) { return_store(random); }},
        {"store return", [&](auto& random) { return_store(random); }},
    };
}

std::vector<fault_kind> soak_environment::notice_faults()
{
    return {
        {"leaving", [&](auto& random) { leave_by_answer(random); }},
        {"upstream pause", [&](auto& random) { pause_replicas(random); }},
    };
}

std::vector<fault_kind> soak_environment::rate_faults()
{
    return {{"rate limit", [&](auto& random) { limit_rate(random); }}};
}

std::vector<fault_kind> soak_environment::crash_faults()
{
    return {{"crashing request", [&](auto& random) {
                 send_crashing_requests(random);
             }}};
}

std::vector<fault_kind> soak_environment::cut_faults()
{
    return {{"cut off", [&](auto& random) { cut_from_replicas(random); }}};
}

void soak_environment::add_foreign_servers()
{
    for (std::uint16_t i = 0; i < foreign_servers; ++i) {
        replica_standin server;
        server.id = invariant_checker::foreign_id + std::string{"-"} +
                    std::to_string(i);
        server.service = "desk";
        server.domain = "d0";
        server.host = addresses_.replica_host();
        server.port = static_cast<std::uint16_t>(first_foreign_port + i);
        replicas_.add_foreign(std::move(server));
    }
}

void soak_environment::write_foreign_entry(random_source& random)
{
    const auto number = random.below(foreign_servers);
    const auto key = "servers/" + std::string{invariant_checker::foreign_id} +
                     "-" + std::to_string(number);
    json entry{
        {"service", "desk"},
        {"address",
         addresses_.replica_host() + ":" +
             std::to_string(first_foreign_port + number)},
        {"zone", "d0"},
        {"version", "v1"},
        {"slots", 4},
        {"state", "ready"},
        {"warmupLeftMs", 0},
        {"sequence", 1}};
    std::string text;
    switch (random.below(4)) {
    case 0:
        for (const char* field : {"version", "warmupLeftMs", "sequence"}) {
            if (random.below(2) == 0)
                entry.erase(field);
        }
        if (entry.size() == 8)
            entry.erase("sequence");
        text = entry.dump();
        break;
    case 1: {
        // The address of a healthy replica.
        const auto& other = replicas_.all()[random.below(3)];
        entry["service"] = "elsewhere";
        entry["address"] =
            other->host + ":" + std::to_string(other->published_port);
        text = entry.dump();
        break;
    }
    case 2: {
        const std::size_t depth = 100'000;
        text = entry.dump();
        const std::string slots = "\"slots\":4";
        text.replace(
            text.find(slots),
            slots.size(),
            "\"slots\":" + std::string(depth, '[') + std::string(depth, ']'));
        break;
    }
    default:
        entry["address"] = addresses_.replica_host() + ":99999";
        entry["warmupLeftMs"] = 1e300;
        text = entry.dump();
        break;
    }
    run_on_standin_thread([&] { store_.put(key, text); });
    sleep_random(random, milliseconds{500}, 3000);
    run_on_standin_thread([&] { store_.remove(key); });
}

void soak_environment::shed_at_service(random_source& random)
{
    const auto set_shed = [&](double share) {
        run_on_standin_thread([&] {
            for (const auto& replica : replicas_.all()) {
                if (replica->service == "desk")
                    replica->shed_share = share;
            }
            replicas_.late_copy_share =
                share > 0 ? shed_copy_share : late_copy_share;
        });
    };
    set_shed(service_shed_share);
    sleep_random(random, milliseconds{1500}, 2500);
    set_shed(0);
}

std::vector<fault_kind> soak_environment::entry_faults()
{
    return {
        {"foreign entry", [&](auto& random) { write_foreign_entry(random); }},
        {"shed", [&](auto& random) { shed_at_service(random); }}};
}

void soak_environment::send_config_storm(random_source& random)
{
    // As the platform's storms, at most as large as a value of its store.
    constexpr milliseconds gap{80};
    constexpr std::uint64_t max_padding = 1'000'000;
    const auto padding = random.below(max_padding);
    for (std::uint64_t left = 5 + random.below(21); left > 0; --left) {
        run_on_standin_thread([&] {
            config_padding_ = padding;
            publish_config();
        });
        std::this_thread::sleep_for(gap);
    }
    change_config(random);
    sleep_random(random, milliseconds{500}, 2500);
    run_on_standin_thread([&] { config_padding_ = 0; });
}

void soak_environment::write_foreign_values(random_source& random)
{
    constexpr std::uint64_t max_bytes = 1'048'576;
    const auto count = 20 + random.below(200);
    const auto size = 1 + random.below(max_bytes);
    const auto key_of = [](std::uint64_t number) {
        return (number % 4 == 0 ? "my/" : "servers/x-") +
               std::to_string(number);
    };
    for (std::uint64_t number = 0; number < count; ++number) {
        run_on_standin_thread(
            [&] { store_.put(key_of(number), std::string(size, '\xff')); });
        std::this_thread::sleep_for(milliseconds{10});
    }
    sleep_random(random, milliseconds{500}, 3000);
    for (std::uint64_t number = 0; number < count; ++number)
        run_on_standin_thread([&] { store_.remove(key_of(number)); });
}

std::vector<fault_kind> soak_environment::value_faults()
{
    return {
        {"config storm", [&](auto& random) { send_config_storm(random); }},
        {"foreign values",
         [&](auto& random) { write_foreign_values(random); }}};
}

void soak_environment::silence_replicas(random_source& random)
{
    const auto from = steady::now();
    // Either for all instances, or for every second one: the others serve what
    // those relay, while their configurations change.
    const bool everywhere = random.below(2) == 0;
    const auto set_silent = [&](bool silent) {
        run_on_standin_thread([&] {
            for (auto* links : {&replica_links_, &second_replica_links_}) {
                if (!everywhere && links == &replica_links_)
                    continue;
                for (const auto& link : *links) {
                    if (silent) {
                        // A new connection would be a sign of the replica.
                        link->close();
                        link->set_fault({{}, true, true});
                        continue;
                    }
                    link->set_fault({});
                    link->reset();
                    link->open();
                }
            }
        });
    };
    set_silent(true);
    for (auto configs = 2 + random.below(5); configs > 0; --configs) {
        sleep_random(random, milliseconds{20}, 300);
        change_config(random);
    }
    sleep_random(random, milliseconds{300}, 1000);
    set_silent(false);
    record_disturbance_since(all_instances, from);
    sleep_random(random, milliseconds{500}, 3000);
}

void soak_environment::write_foreign_keys(random_source& random)
{
    std::vector<std::string> keys;
    run_on_standin_thread([&] {
        for (const auto& replica : replicas_.all()) {
            if (replica->service == "desk")
                keys.push_back("servers/notes/" + replica->id);
        }
        for (const auto& key : keys)
            store_.put(key, "not an entry");
    });
    sleep_random(random, milliseconds{500}, 2500);
    if (random.below(2) == 0)
        run_on_standin_thread([&] {
            for (const auto& key : keys)
                store_.remove(key);
        });
}

void soak_environment::send_endless_answers(random_source& random)
{
    const auto replica = reserve_replica(random);
    const bool whole_service = random.below(3) == 0;
    const auto kind = static_cast<endless_bytes>(
        1 + random.below(static_cast<std::uint64_t>(endless_bytes::body)));
    const auto from = steady::now();
    const auto set = [&](endless_bytes bytes) {
        run_on_standin_thread([&] {
            for (const auto& each : replicas_.all()) {
                if (each == replica ||
                    (whole_service && each->service == replica->service))
                    each->endless = bytes;
            }
        });
    };
    set(kind);
    sleep_random(random, milliseconds{300}, 1500);
    set(endless_bytes::none);
    if (whole_service)
        record_disturbance_since(all_instances, from);
    release_replica(replica);
}

std::vector<fault_kind> soak_environment::message_faults()
{
    return {
        {"foreign keys", [&](auto& random) { write_foreign_keys(random); }},
        {"endless answers",
         [&](auto& random) { send_endless_answers(random); }}};
}

std::vector<fault_kind> soak_environment::stop_faults()
{
    return {{"late requests", [&](auto& random) {
                 stop_with_late_requests(random);
             }}};
}

std::vector<std::vector<fault_kind>> soak_environment::stress_series()
{
    const fault_kind silence{
        "silence", [&](auto& random) { silence_replicas(random); }};
    const fault_kind config{"config", [&](auto& random) {
                                change_config(random);
                                sleep_random(random, milliseconds{500}, 1500);
                            }};
    const fault_kind reload{"reload", [&](auto& random) {
                                fleet_->signal(random_instance(random), SIGHUP);
                                sleep_random(random, milliseconds{200}, 1500);
                            }};
    return {
        {plays_late_readers() ? config : silence}, message_faults(), {reload}};
}

std::vector<std::vector<fault_kind>> soak_environment::series_of_run()
{
    std::vector<std::vector<fault_kind>> mixed{
        process_faults(),
        environment_faults(),
        store_faults(),
        notice_faults(),
        rate_faults(),
        crash_faults(),
        cut_faults()};
    if (options_->series == soak_series::base)
        return mixed;
    if (plays_stress())
        return stress_series();
    switch (seed_ % profiles) {
    case 0: {
        // Planned work alone: most other faults excuse requests that are cut.
        const fault_kind config{
            "config", [&](auto& random) { change_config(random); }};
        return {
            stop_faults(),
            stop_faults(),
            {config, {"reload", [&](auto& random) {
                          fleet_->signal(random_instance(random), SIGHUP);
                          sleep_random(random, milliseconds{500}, 1500);
                      }}}};
    }
    case 1:
        return {
            {{"end all", [&](auto& random) { end_all(random); }}},
            {{"config", [&](auto& random) { change_config(random); }},
             {"replace", [&](auto& random) { replace_replica(random); }}}};
    default:
        mixed.front().push_back(stop_faults().front());
        mixed.push_back(entry_faults());
        mixed.push_back(value_faults());
        return mixed;
    }
}

void soak_environment::inject_faults(
    steady::time_point until,
    const std::vector<fault_kind>& kinds,
    std::uint64_t seed)
{
    random_source random{seed};
    while (steady::now() < until) {
        inject_fault(kinds, random);
        sleep_random(random, milliseconds{50}, 500);
    }
}

} // namespace peridotward::soak
