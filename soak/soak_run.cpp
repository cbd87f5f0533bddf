#include "callers.hpp"
#include "fleet.hpp"
#include "judge.hpp"
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
constexpr int copies = 3;
constexpr milliseconds start_time{3000};
constexpr milliseconds calm_time{4500};
constexpr milliseconds judged_time{2000};
/// Served share of the calm requests at the end of a run.
constexpr double least_served = 0.9;
constexpr int stop_time_ms = 6500;

struct fault_kind
{
    const char* name;
    std::function<void(random_source&)> action;
};

/// The world around the gateways of one run.
class soak_world
{
public:
    soak_world(const soak_options& options, std::uint64_t seed)
        : options_{&options},
          place_{seed},
          config_random_{seed},
          store_{context_, place_.replica_host(), store_port},
          replicas_{context_, judge_, store_, seed}
    {
        for (int i = 0; i < options.instances; ++i)
            store_links_.push_back(std::make_unique<proxy>(
                context_,
                place_.replica_host(),
                static_cast<std::uint16_t>(fleet::first_store_port + i),
                store_port));
        for (std::uint32_t s = 0; s < judge::shards; ++s)
            add_service("s" + std::to_string(s));
        add_service("desk");
        publish_config();
        thread_ = std::thread{[this] { context_.run(); }};
    }

    ~soak_world()
    {
        context_.stop();
        if (thread_.joinable())
            thread_.join();
    }
    soak_world(const soak_world&) = delete;
    soak_world& operator=(const soak_world&) = delete;

    soak_result run(std::uint64_t seed);

private:
    void add_service(const std::string& name)
    {
        for (int copy = 0; copy < copies; ++copy) {
            const auto number =
                static_cast<std::uint16_t>(replica_links_.size());
            replica_standin wanted;
            wanted.id = name + "-" + std::to_string(copy);
            wanted.service = name;
            wanted.domain = "d" + std::to_string(copy);
            wanted.host = place_.replica_host();
            wanted.port =
                static_cast<std::uint16_t>(first_replica_port + number);
            wanted.published_port =
                static_cast<std::uint16_t>(first_proxy_port + number);
            replica_links_.push_back(std::make_unique<proxy>(
                context_, wanted.host, wanted.published_port, wanted.port));
            replicas_.add(std::move(wanted));
        }
    }

    void publish_config();

    /// Runs `action` on the stand-ins' thread and waits for it.
    void on_world(const std::function<void()>& action)
    {
        std::promise<void> done;
        net::post(context_, [&] {
            action();
            done.set_value();
        });
        done.get_future().wait();
    }

    static void
    hold(random_source& random, milliseconds least, std::uint64_t spread)
    {
        std::this_thread::sleep_for(least + milliseconds{random.below(spread)});
    }

    [[nodiscard]] int some_instance(random_source& random) const
    {
        return static_cast<int>(
            random.below(static_cast<std::uint64_t>(options_->instances)));
    }

    void disturb_until_now(
        int instance, steady::time_point from, bool planned = false)
    {
        judge_.disturb({instance, from, steady::now(), planned});
    }

    [[nodiscard]] std::vector<fault_kind> faults_of_processes();
    [[nodiscard]] std::vector<fault_kind> faults_around();
    void perform(const std::vector<fault_kind>& kinds, random_source& random);
    void faults_until(
        steady::time_point until,
        const std::vector<fault_kind>& kinds,
        std::uint64_t seed);
    void harm_link(random_source& random, proxy& link, int instance);
    void harm_replica(random_source& random);
    void pause_instance(random_source& random);
    void kill_instance(random_source& random);
    void stop_instance(random_source& random);
    void evacuate(random_source& random);
    void replace_replica(random_source& random);
    void change_config(random_source& random);
    void store_outage(random_source& random);

    const soak_options* options_;
    soak_place place_;
    random_source config_random_;
    std::mutex changes_; ///< Guards configuration and the list of faults.
    net::io_context context_;
    judge judge_;
    store store_;
    replicas replicas_;
    std::vector<std::unique_ptr<proxy>> store_links_;
    std::vector<std::unique_ptr<proxy>> replica_links_;
    std::thread thread_;
    fleet* fleet_ = nullptr;
    callers* callers_ = nullptr;
    std::vector<std::string> added_;
    std::uint64_t version_ = 0;
    std::string done_;
};

void soak_world::publish_config()
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
    for (std::uint32_t s = 0; s < judge::shards; ++s) {
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
    search["topK"] = judge::top_records;
    search["minShardShare"] = 0.75;
    auto routes = json::array({search});
    auto once = route("/once/", "unsafe");
    once["service"] = "desk";
    routes.push_back(once);
    auto paths = added_;
    paths.push_back("/read/");
    for (const auto& path : paths) {
        auto read = route(path, "safe");
        read["service"] = "desk";
        routes.push_back(read);
    }
    version_ += 1 + config_random_.below(4);
    store_.put(
        "op/config",
        json{{"version", version_}, {"routes", routes}, {"services", services}}
            .dump());
}

void soak_world::harm_link(random_source& random, proxy& link, int instance)
{
    const auto from = steady::now();
    link_fault wanted;
    switch (random.below(4)) {
    case 0:
        wanted.delay = milliseconds{50 + random.below(300)};
        break;
    case 1:
        wanted.cut_forward = true;
        break;
    case 2:
        wanted.cut_back = true;
        break;
    default:
        wanted.cut_forward = true;
        wanted.cut_back = true;
        break;
    }
    on_world([&] {
        if (random.below(2) == 0)
            link.reset();
        link.fault(wanted);
    });
    hold(random, milliseconds{500}, 1500);
    on_world([&] {
        link.fault({});
        link.reset();
    });
    if (instance >= 0)
        disturb_until_now(instance, from);
}

void soak_world::harm_replica(random_source& random)
{
    auto& all = replicas_.all();
    const auto at = random.below(all.size());
    if (random.below(2) == 0) {
        harm_link(random, *replica_links_[at], -2);
        return;
    }
    on_world([&] {
        all[at]->shed_share = random.unit() * 0.6;
        all[at]->break_share = random.unit() * 0.4;
        all[at]->hang_share = random.unit() * 0.2;
    });
    hold(random, milliseconds{500}, 1500);
    on_world([&] {
        all[at]->shed_share = 0;
        all[at]->break_share = base_break_share;
        all[at]->hang_share = 0;
    });
}

void soak_world::pause_instance(random_source& random)
{
    const int instance = some_instance(random);
    const auto from = steady::now();
    fleet_->signal(instance, SIGSTOP);
    hold(random, milliseconds{300}, 2500);
    fleet_->signal(instance, SIGCONT);
    disturb_until_now(instance, from);
}

void soak_world::kill_instance(random_source& random)
{
    const int instance = some_instance(random);
    const auto from = steady::now();
    fleet_->signal(instance, SIGKILL);
    fleet_->await(instance, stop_time_ms);
    hold(random, milliseconds{100}, 800);
    fleet_->start(instance);
    hold(random, milliseconds{300}, 300);
    disturb_until_now(instance, from);
}

void soak_world::stop_instance(random_source& random)
{
    const int instance = some_instance(random);
    const auto from = steady::now();
    fleet_->signal(instance, SIGTERM);
    if (random.below(3) == 0)
        fleet_->signal(instance, SIGTERM);
    if (!fleet_->await(instance, stop_time_ms))
        judge_.attempt({"overdue", "/read/", instance, true, from, from, 200});
    disturb_until_now(instance, from, true);
    fleet_->start(instance);
    const auto started = steady::now();
    hold(random, milliseconds{300}, 300);
    disturb_until_now(instance, started);
}

void soak_world::evacuate(random_source& random)
{
    const auto domain = "d" + std::to_string(random.below(copies));
    on_world([&] { store_.put("op/evacuate/" + domain, "{}"); });
    judge_.evacuated(domain, true);
    hold(random, milliseconds{1000}, 6500);
    judge_.evacuated(domain, false);
    on_world([&] { store_.remove("op/evacuate/" + domain); });
}

void soak_world::replace_replica(random_source& random)
{
    auto& all = replicas_.all();
    const auto at = random.below(all.size());
    const auto known = all[at];
    std::string old = known->id;
    on_world([&] { replicas_.publish(*known, true); });
    judge_.left(old);
    hold(random, milliseconds{1000}, 3500);
    on_world([&] {
        store_.remove("servers/" + old);
        // The same address, another replica.
        known->id = old + "n";
        ++known->born;
        replicas_.publish(*known);
    });
}

void soak_world::change_config(random_source& random)
{
    const auto path = "/v" + std::to_string(version_) + "/";
    added_.push_back(path);
    on_world([&] {
        if (random.below(3) == 0)
            store_.compact();
        publish_config();
    });
    judge_.published(path);
    callers_->add_path(path);
}

void soak_world::store_outage(random_source& random)
{
    const auto from = steady::now();
    on_world([&] { store_.down(true); });
    hold(random, milliseconds{500}, 2500);
    on_world([&] { store_.down(false); });
    disturb_until_now(-1, from);
}

void soak_world::perform(
    const std::vector<fault_kind>& kinds, random_source& random)
{
    const auto& chosen = kinds[random.below(kinds.size())];
    {
        const std::lock_guard lock{changes_};
        done_ += done_.empty() ? chosen.name : std::string{", "} + chosen.name;
    }
    chosen.action(random);
}

std::vector<fault_kind> soak_world::faults_of_processes()
{
    return {
        {"pause", [&](auto& random) { pause_instance(random); }},
        {"kill", [&](auto& random) { kill_instance(random); }},
        {"stop", [&](auto& random) { stop_instance(random); }},
        {"reload",
         [&](auto& random) { fleet_->signal(some_instance(random), SIGHUP); }},
    };
}

std::vector<fault_kind> soak_world::faults_around()
{
    return {
        {"store link",
         [&](auto& random) {
             const int instance = some_instance(random);
             harm_link(
                 random,
                 *store_links_[static_cast<std::size_t>(instance)],
                 instance);
         }},
        {"replica", [&](auto& random) { harm_replica(random); }},
        {"evacuate", [&](auto& random) { evacuate(random); }},
        {"replace", [&](auto& random) { replace_replica(random); }},
        {"config", [&](auto& random) { change_config(random); }},
        {"store outage", [&](auto& random) { store_outage(random); }},
    };
}

void soak_world::faults_until(
    steady::time_point until,
    const std::vector<fault_kind>& kinds,
    std::uint64_t seed)
{
    random_source random{seed};
    while (steady::now() < until) {
        perform(kinds, random);
        hold(random, milliseconds{50}, 500);
    }
}

soak_result soak_world::run(std::uint64_t seed)
{
    const auto folder = options_->folder + "/" + std::to_string(seed);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    fleet gateways{options_->program, folder, place_, options_->instances};
    fleet_ = &gateways;
    judge_.disturb({-1, steady::now(), steady::now() + start_time});
    std::this_thread::sleep_for(start_time);
    callers asking{judge_, gateways, options_->callers, seed * 1000};
    callers_ = &asking;
    const auto until = steady::now() + std::chrono::seconds{options_->seconds};
    // Two series that overlap: processes, and everything around them.
    std::thread around{[&] { faults_until(until, faults_around(), seed + 7); }};
    faults_until(until, faults_of_processes(), seed);
    around.join();
    std::this_thread::sleep_for(calm_time);
    const auto calm = steady::now();
    std::this_thread::sleep_for(judged_time);
    asking.stop();
    soak_result result;
    result.seed = seed;
    result.attempts = judge_.attempts();
    result.repeats = judge_.repeats();
    result.faults = done_;
    result.broken = judge_.verdict();
    const auto [served, asked] = judge_.served_since(calm);
    if (static_cast<double>(served) < least_served * static_cast<double>(asked))
        result.broken.push_back(
            "not recovered: " + std::to_string(served) + " of " +
            std::to_string(asked) + " served after the last fault");
    return result;
}

} // namespace

soak_result run_seed(const soak_options& options, std::uint64_t seed)
{
    try {
        soak_world world{options, seed};
        return world.run(seed);
    }
    catch (const std::exception& failure) {
        soak_result result;
        result.seed = seed;
        result.broken.push_back(std::string{"not run: "} + failure.what());
        return result;
    }
}

} // namespace peridotward::soak
