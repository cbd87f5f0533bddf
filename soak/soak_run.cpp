#include "callers.hpp"
#include "fleet.hpp"
#include "invariant_checker.hpp"
#include "proxy.hpp"
#include "replicas.hpp"
#include "soak_run.hpp"
#include "store.hpp"

#include <peridotward/base/json.hpp>

#include <csignal>
#include <filesystem>
#include <functional>
#include <future>
#include <mutex>

namespace peridotward::soak {

using namespace testing;

namespace {

constexpr std::uint16_t store_port = 9000;
constexpr std::uint16_t first_replica_port = 10000;
constexpr std::uint16_t first_proxy_port = 11000;
constexpr int replicas_per_service = 3;
constexpr milliseconds startup_time{3000};
constexpr milliseconds settle_time{4500};
constexpr milliseconds checked_time{2000};
/// Min. share of requests with status 200 after the faults of a run ended.
constexpr double min_served_share = 0.9;
constexpr int max_stop_ms = 6500;

struct fault_kind
{
    const char* name;
    std::function<void(random_source&)> action;
};

/// The environment of the gateways of one run: store, replicas, proxies in
/// front of both, and callers.
class soak_environment
{
public:
    soak_environment(const soak_options& options, std::uint64_t seed)
        : options_{&options},
          addresses_{seed},
          config_random_{seed},
          store_{context_, addresses_.replica_host(), store_port},
          replicas_{context_, checker_, store_, seed}
    {
        for (int i = 0; i < options.instances; ++i)
            store_links_.push_back(std::make_unique<proxy>(
                context_,
                addresses_.replica_host(),
                static_cast<std::uint16_t>(fleet::first_store_port + i),
                store_port));
        for (std::uint32_t s = 0; s < invariant_checker::shards; ++s)
            add_service("s" + std::to_string(s));
        add_service("desk");
        publish_config();
        thread_ = std::thread{[this] { context_.run(); }};
    }

    ~soak_environment()
    {
        context_.stop();
        if (thread_.joinable())
            thread_.join();
    }
    soak_environment(const soak_environment&) = delete;
    soak_environment& operator=(const soak_environment&) = delete;

    soak_result run(std::uint64_t seed);

private:
    void add_service(const std::string& name)
    {
        for (int copy = 0; copy < replicas_per_service; ++copy) {
            const auto number =
                static_cast<std::uint16_t>(replica_links_.size());
            replica_standin replica;
            replica.id = name + "-" + std::to_string(copy);
            replica.service = name;
            replica.domain = "d" + std::to_string(copy);
            replica.host = addresses_.replica_host();
            replica.port =
                static_cast<std::uint16_t>(first_replica_port + number);
            replica.published_port =
                static_cast<std::uint16_t>(first_proxy_port + number);
            replica_links_.push_back(std::make_unique<proxy>(
                context_, replica.host, replica.published_port, replica.port));
            replicas_.add(std::move(replica));
        }
    }

    void publish_config();

    /// Runs `action` on the stand-ins' thread and waits until it returns.
    void run_on_standin_thread(const std::function<void()>& action)
    {
        std::promise<void> done;
        net::post(context_, [&] {
            action();
            done.set_value();
        });
        done.get_future().wait();
    }

    /// Sleeps for `min_time` plus a random time below `spread` milliseconds.
    static void sleep_random(
        random_source& random, milliseconds min_time, std::uint64_t spread)
    {
        std::this_thread::sleep_for(
            min_time + milliseconds{random.below(spread)});
    }

    [[nodiscard]] int random_instance(random_source& random) const
    {
        return static_cast<int>(
            random.below(static_cast<std::uint64_t>(options_->instances)));
    }

    void record_disturbance_since(
        int instance, steady::time_point from, bool planned_stop = false)
    {
        checker_.record_disturbance(
            {instance, from, steady::now(), planned_stop});
    }

    [[nodiscard]] std::vector<fault_kind> process_faults();
    [[nodiscard]] std::vector<fault_kind> environment_faults();
    void
    inject_fault(const std::vector<fault_kind>& kinds, random_source& random);
    void inject_faults(
        steady::time_point until,
        const std::vector<fault_kind>& kinds,
        std::uint64_t seed);
    void impair_link(random_source& random, proxy& link, int instance);
    void impair_replica(random_source& random);
    void pause_instance(random_source& random);
    void kill_instance(random_source& random);
    void stop_instance(random_source& random);
    void evacuate(random_source& random);
    void replace_replica(random_source& random);
    void change_config(random_source& random);
    void store_outage(random_source& random);

    const soak_options* options_;
    run_addresses addresses_;
    random_source config_random_;
    std::mutex faults_mutex_; ///< Guards `injected_faults_`.
    net::io_context context_;
    invariant_checker checker_;
    store store_;
    replicas replicas_;
    std::vector<std::unique_ptr<proxy>> store_links_;
    std::vector<std::unique_ptr<proxy>> replica_links_;
    std::thread thread_;
    fleet* fleet_ = nullptr;
    callers* callers_ = nullptr;
    std::vector<std::string> added_paths_;
    std::uint64_t config_version_ = 0;
    std::string injected_faults_;
};

void soak_environment::publish_config()
{
    auto shards = json::array();
    auto services = json::array();
    const auto service = [](const std::string& name) {
        return json{
            {"name", name},
            {"healthPath", "/healthz"},
            {"maxConnections", 60},
            {"warmupS", 0.0},
            {"warmupPerS", 0.0}};
    };
    for (std::uint32_t s = 0; s < invariant_checker::shards; ++s) {
        shards.push_back("s" + std::to_string(s));
        services.push_back(service("s" + std::to_string(s)));
    }
    services.push_back(service("desk"));
    const auto route = [](const std::string& prefix, const char* kind) {
        return json{
            {"name", prefix},
            {"host", "soak.example"},
            {"prefix", prefix},
            {"kind", kind},
            {"timeoutMs", 800},
            {"targetLatencyMs", 100},
            {"priority", 1},
            {"maxAttempts", 2}};
    };
    auto search = route("/search/", "safe");
    search["gather"] = shards;
    search["topK"] = invariant_checker::top_records;
    search["minShardShare"] = 0.75;
    auto routes = json::array({search});
    auto once = route("/once/", "unsafe");
    once["service"] = "desk";
    routes.push_back(once);
    auto paths = added_paths_;
    paths.push_back("/read/");
    for (const auto& path : paths) {
        auto read = route(path, "safe");
        read["service"] = "desk";
        routes.push_back(read);
    }
    config_version_ += 1 + config_random_.below(4);
    store_.put(
        "op/config",
        json{
            {"version", config_version_},
            {"routes", routes},
            {"services", services}}
            .dump());
}

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
    auto& all = replicas_.all();
    const auto index = random.below(all.size());
    if (random.below(2) == 0) {
        impair_link(random, *replica_links_[index], -2);
        return;
    }
    run_on_standin_thread([&] {
        all[index]->shed_share = random.unit() * 0.6;
        all[index]->break_share = random.unit() * 0.4;
        all[index]->hang_share = random.unit() * 0.2;
    });
    sleep_random(random, milliseconds{500}, 1500);
    run_on_standin_thread([&] {
        all[index]->shed_share = 0;
        all[index]->break_share = base_break_share;
        all[index]->hang_share = 0;
    });
}

void soak_environment::pause_instance(random_source& random)
{
    const int instance = random_instance(random);
    const auto from = steady::now();
    fleet_->signal(instance, SIGSTOP);
    sleep_random(random, milliseconds{300}, 2500);
    fleet_->signal(instance, SIGCONT);
    record_disturbance_since(instance, from);
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
    record_disturbance_since(instance, from);
}

void soak_environment::stop_instance(random_source& random)
{
    const int instance = random_instance(random);
    const auto from = steady::now();
    fleet_->signal(instance, SIGTERM);
    if (random.below(3) == 0)
        fleet_->signal(instance, SIGTERM);
    if (!fleet_->wait_for_exit(instance, max_stop_ms))
        checker_.record_attempt(
            {"overdue", "/read/", instance, true, from, from, 200});
    record_disturbance_since(instance, from, true);
    fleet_->start(instance);
    const auto started = steady::now();
    sleep_random(random, milliseconds{300}, 300);
    record_disturbance_since(instance, started);
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
    auto& all = replicas_.all();
    const auto index = random.below(all.size());
    const auto replica = all[index];
    std::string old_id = replica->id;
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
}

void soak_environment::change_config(random_source& random)
{
    const auto path = "/v" + std::to_string(config_version_) + "/";
    added_paths_.push_back(path);
    run_on_standin_thread([&] {
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
    record_disturbance_since(-1, from);
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
        {"store outage", [&](auto& random) { store_outage(random); }},
    };
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

soak_result soak_environment::run(std::uint64_t seed)
{
    const auto folder = options_->folder + "/" + std::to_string(seed);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    fleet gateways{options_->program, folder, addresses_, options_->instances};
    fleet_ = &gateways;
    checker_.record_disturbance(
        {-1, steady::now(), steady::now() + startup_time});
    std::this_thread::sleep_for(startup_time);
    callers caller_threads{checker_, gateways, options_->callers, seed * 1000};
    callers_ = &caller_threads;
    const auto until = steady::now() + std::chrono::seconds{options_->seconds};
    // Process faults and environment faults run at the same time.
    std::thread environment_thread{
        [&] { inject_faults(until, environment_faults(), seed + 7); }};
    inject_faults(until, process_faults(), seed);
    environment_thread.join();
    std::this_thread::sleep_for(settle_time);
    const auto settled = steady::now();
    std::this_thread::sleep_for(checked_time);
    caller_threads.stop();
    soak_result result;
    result.seed = seed;
    result.attempts = checker_.attempts();
    result.extra_attempts = checker_.extra_attempts();
    result.faults = injected_faults_;
    result.violations = checker_.find_violations();
    const auto [served, attempted] = checker_.count_served_since(settled);
    if (static_cast<double>(served) <
        min_served_share * static_cast<double>(attempted))
        result.violations.push_back(
            "not recovered: " + std::to_string(served) + " of " +
            std::to_string(attempted) + " served after the last fault");
    return result;
}

} // namespace

soak_result run_seed(const soak_options& options, std::uint64_t seed)
{
    try {
        soak_environment environment{options, seed};
        return environment.run(seed);
    }
    catch (const std::exception& failure) {
        soak_result result;
        result.seed = seed;
        result.violations.push_back(std::string{"not run: "} + failure.what());
        return result;
    }
}

} // namespace peridotward::soak
