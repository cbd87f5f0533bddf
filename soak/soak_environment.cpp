#include "early_callers.hpp"
#include "late_readers.hpp"
#include "late_requests.hpp"
#include "soak_environment.hpp"

#include <peridotward/base/json.hpp>

#include <atomic>
#include <filesystem>
#include <utility>

namespace peridotward::soak {

using namespace testing;

namespace {

constexpr std::uint16_t store_port = 9000;
constexpr std::uint16_t first_replica_port = 10000;
constexpr std::uint16_t first_proxy_port = 11000;
/// The second store, and ports of the second links: added to the first ones.
constexpr std::uint16_t second_store_offset = 900;
constexpr std::uint16_t second_link_offset = 1000;
constexpr milliseconds startup_time{3000};
/// Replicas of the service whose replicas crash.
constexpr int brittle_replicas = 4;
constexpr int early_caller_count = 6;
/// Share of the requests after which callers open a new connection.
constexpr double reconnect_share = 0.1;
/// Replicas of the service of late requests; enough for all of these.
constexpr int slow_replicas = 6;
constexpr std::uint32_t slow_slots = 100;

/// Longer records are entries of other programs.
constexpr std::size_t max_entry_bytes = 4096;

/// \returns `record` with the port of the second link, if it is a replica's.
std::string with_second_link(const std::string& record)
{
    // Entries of other programs stay as they are.
    if (record.size() > max_entry_bytes)
        return record;
    auto changed = json::parse(record, nullptr, false);
    const auto found = changed.find("address");
    if (!changed.is_object() || found == changed.end())
        return record;
    const auto address = found->get<std::string>();
    const auto colon = address.rfind(':');
    const auto port = std::stoi(address.substr(colon + 1));
    changed["address"] = address.substr(0, colon + 1) +
                         std::to_string(port + second_link_offset);
    return changed.dump();
}

std::string same_record(const std::string& record)
{
    return record;
}

} // namespace

soak_environment::soak_environment(
    const soak_options& options, std::uint64_t seed)
    : options_{&options},
      seed_{seed},
      addresses_{seed},
      config_random_{seed},
      checker_{
          static_cast<std::uint32_t>(options.shards),
          static_cast<std::size_t>(options.resident_mb)},
      store_{context_, addresses_.replica_host(), store_port},
      second_store_{
          context_,
          addresses_.replica_host(),
          store_port + second_store_offset},
      replicas_{context_, checker_, store_, seed}
{
    store_.mirror_to(
        second_store_,
        reaches_replicas_directly() ? same_record : with_second_link);
    for (int i = 0; i < options.instances; ++i) {
        const bool second = uses_second_links(i);
        store_links_.push_back(std::make_unique<proxy>(
            context_,
            addresses_.replica_host(),
            static_cast<std::uint16_t>(fleet::first_store_port + i),
            static_cast<std::uint16_t>(
                store_port + (second ? second_store_offset : 0))));
    }
    for (int s = 0; s < options.shards; ++s)
        add_service("s" + std::to_string(s), replicas_per_service);
    add_service("desk", replicas_per_service);
    add_service(brittle_service, brittle_replicas);
    if (options.series != soak_series::base)
        add_service(slow_service, slow_replicas, slow_slots);
    if (plays_hostile_parts()) {
        replicas_.late_copy_share = late_copy_share;
        replicas_.odd_status_share = odd_status_share;
        add_foreign_servers();
    }
    replicas_.on_crash = [this](const auto& replica) { crash(replica); };
    publish_config();
    thread_ = std::thread{[this] { context_.run(); }};
}

void soak_environment::add_service(
    const std::string& name, int count, std::uint32_t slots)
{
    for (int copy = 0; copy < count; ++copy) {
        const auto number = static_cast<std::uint16_t>(replica_links_.size());
        replica_standin replica;
        replica.id = name + "-" + std::to_string(copy);
        replica.service = name;
        replica.domain = "d" + std::to_string(copy % replicas_per_service);
        replica.link = number;
        replica.slots = slots;
        if (options_->series != soak_series::base)
            replica.max_connections =
                static_cast<std::uint32_t>(max_connections(name));
        replica.has_fault = name == brittle_service;
        replica.host = addresses_.replica_host();
        replica.port = static_cast<std::uint16_t>(first_replica_port + number);
        const auto link_port =
            static_cast<std::uint16_t>(first_proxy_port + number);
        replica.published_port =
            reaches_replicas_directly() ? replica.port : link_port;
        replica_links_.push_back(std::make_unique<proxy>(
            context_, replica.host, link_port, replica.port));
        second_replica_links_.push_back(std::make_unique<proxy>(
            context_,
            replica.host,
            static_cast<std::uint16_t>(link_port + second_link_offset),
            replica.port));
        replicas_.add(std::move(replica));
    }
}

void soak_environment::publish_config()
{
    auto shards = json::array();
    auto services = json::array();
    const auto service = [](const std::string& name) {
        return json{
            {"name", name},
            {"healthPath", "/healthz"},
            {"maxConnections", max_connections(name)},
            {"warmupS", 0.0},
            {"warmupPerS", 0.0}};
    };
    for (int s = 0; s < options_->shards; ++s) {
        shards.push_back("s" + std::to_string(s));
        services.push_back(service("s" + std::to_string(s)));
    }
    services.push_back(service("desk"));
    services.push_back(service(brittle_service));
    if (options_->series != soak_series::base)
        services.push_back(service(slow_service));
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
    auto brittle = route(invariant_checker::brittle_path, "safe");
    brittle["service"] = brittle_service;
    routes.push_back(brittle);
    if (options_->series != soak_series::base) {
        for (const auto* path :
             {late_requests::safe_path, late_requests::once_path}) {
            auto late = route(
                path, path == late_requests::safe_path ? "safe" : "unsafe");
            late["service"] = slow_service;
            late["timeoutMs"] = late_requests::route_timeout.count();
            routes.push_back(late);
        }
    }
    if (plays_stress()) {
        auto huge = route(std::string{huge_path}, "safe");
        huge["service"] = slow_service;
        huge["timeoutMs"] = late_readers::deadline.count();
        routes.push_back(huge);
    }
    auto paths = added_paths_;
    paths.push_back("/read/");
    if (plays_hostile_parts())
        paths.emplace_back(large_path);
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
            {"services", services},
            {"notes", std::string(config_padding_, 'n')}}
            .dump());
}

soak_result soak_environment::run(std::uint64_t seed)
{
    const auto folder = options_->folder + "/" + std::to_string(seed);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    fleet gateways{
        options_->program,
        folder,
        addresses_,
        options_->instances,
        static_cast<std::size_t>(options_->memory_mb)};
    fleet_ = &gateways;
    checker_.record_disturbance(
        {all_instances, steady::now(), steady::now() + startup_time});
    std::this_thread::sleep_for(startup_time);
    const bool all = options_->series != soak_series::base;
    callers caller_threads{
        checker_,
        gateways,
        {options_->callers, options_->pause_ms, all ? reconnect_share : 0},
        seed * 1000};
    callers_ = &caller_threads;
    early_callers early_threads{
        checker_,
        gateways,
        plays_hostile_parts() ? early_caller_count : 0,
        seed * 1000 + 500};
    late_readers late_threads{
        checker_, gateways, plays_late_readers() ? 1 : 0, seed * 1000 + 700};
    const auto until = steady::now() + std::chrono::seconds{options_->seconds};
    // The series of faults run at the same time.
    std::vector<std::thread> series;
    std::uint64_t series_seed = seed;
    for (auto& kinds : series_of_run()) {
        series.emplace_back(
            [&, kinds = std::move(kinds), fault_seed = series_seed] {
                inject_faults(until, kinds, fault_seed);
            });
        series_seed += 7;
    }
    std::atomic<bool> faults_ended = false;
    std::thread watcher{[&] {
        while (!faults_ended) {
            for (int i = 0; i < gateways.size(); ++i)
                checker_.record_memory(i, gateways.peak_memory_mb(i));
            for (const int ended : gateways.restart_ended()) {
                checker_.record_own_end(ended);
                checker_.record_disturbance(
                    {ended,
                     steady::now(),
                     steady::now() + startup_time,
                     disturbance_kind::restarted});
            }
            std::this_thread::sleep_for(milliseconds{100});
        }
    }};
    for (auto& thread : series)
        thread.join();
    faults_ended = true;
    watcher.join();
    early_threads.stop();
    late_threads.stop();
    std::this_thread::sleep_for(invariant_checker::settle_time);
    const auto settled = steady::now();
    std::this_thread::sleep_for(invariant_checker::checked_time);
    caller_threads.stop();
    soak_result result;
    result.seed = seed;
    result.attempts = checker_.attempts();
    result.extra_attempts = checker_.extra_attempts();
    result.peak_memory_mb = checker_.peak_memory_mb();
    result.faults = injected_faults_;
    result.violations = checker_.find_violations();
    const auto [served, attempted] = checker_.count_served_since(settled);
    if (static_cast<double>(served) <
        invariant_checker::min_served_share * static_cast<double>(attempted))
        result.violations.push_back(
            "not recovered: " + std::to_string(served) + " of " +
            std::to_string(attempted) + " served after the last fault");
    return result;
}

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
