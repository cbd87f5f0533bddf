#pragma once

#include "callers.hpp"
#include "fleet.hpp"
#include "invariant_checker.hpp"
#include "proxy.hpp"
#include "replicas.hpp"
#include "soak_run.hpp"
#include "store.hpp"

#include <peridotward/base/random.hpp>

#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace peridotward::soak {

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
    static constexpr int replicas_per_service = 3;
    /// Share of the answers that replicas send twice, late.
    static constexpr double late_copy_share = 0.03;
    /// Share of the requests that replicas run and answer with an odd status.
    static constexpr double odd_status_share = 0.02;
    /// Kinds of runs, which the seed selects.
    static constexpr std::uint64_t profiles = 3;

    soak_environment(const soak_options& options, std::uint64_t seed);
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
    /// The service whose replicas a certain request crashes.
    static constexpr const char* brittle_service = "brittle";
    /// The service of `late_requests`.
    static constexpr const char* slow_service = "slow";

    /// \returns Whether the instance reaches the replicas by the second links,
    /// which can be cut.
    [[nodiscard]] static bool uses_second_links(int instance)
    {
        return instance % 2 == 1;
    }
    [[nodiscard]] bool plays_stress() const noexcept
    {
        return options_->series == soak_series::stress;
    }
    /// \returns Whether the run plays callers of large answers that read late,
    /// in place of outages of the replicas.
    [[nodiscard]] bool plays_late_readers() const noexcept
    {
        return plays_stress() && seed_ % 2 == 1;
    }
    /// \returns Whether instances reach the replicas without proxies, which
    /// would limit the load.
    [[nodiscard]] bool reaches_replicas_directly() const noexcept
    {
        return plays_power_loss() || plays_late_readers();
    }
    /// \returns Whether the run plays the ends of all processes.
    [[nodiscard]] bool plays_power_loss() const noexcept
    {
        return options_->series == soak_series::all && seed_ % profiles == 1;
    }
    /// \returns Whether the run plays entries of other programs, late copies of
    /// answers and early callers.
    [[nodiscard]] bool plays_hostile_parts() const noexcept
    {
        return plays_stress() ||
               (options_->series == soak_series::all && seed_ % profiles == 2);
    }
    /// \returns The limit of the connections to one replica of `service`.
    [[nodiscard]] static int max_connections(const std::string& service)
    {
        return service == slow_service ? 600 : 60;
    }
    void add_service(
        const std::string& name,
        int count,
        std::uint32_t slots = replica_standin{}.slots);
    void publish_config();

    /// Runs `action` on the stand-ins' thread and waits until it returns.
    void run_on_standin_thread(const std::function<void()>& action)
    {
        std::promise<void> done;
        testing::net::post(context_, [&] {
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
        int instance,
        steady::time_point from,
        disturbance_kind kind = disturbance_kind::connections)
    {
        checker_.record_disturbance({instance, from, steady::now(), kind});
    }

    /// Reserves a random replica without a fault for a fault of the caller.
    [[nodiscard]] std::shared_ptr<replica_standin>
    reserve_replica(random_source& random);
    void release_replica(const std::shared_ptr<replica_standin>& replica);

    [[nodiscard]] std::vector<fault_kind> process_faults();
    [[nodiscard]] std::vector<fault_kind> environment_faults();
    [[nodiscard]] std::vector<fault_kind> store_faults();
    [[nodiscard]] std::vector<fault_kind> notice_faults();
    [[nodiscard]] std::vector<fault_kind> rate_faults();
    [[nodiscard]] std::vector<fault_kind> crash_faults();
    [[nodiscard]] std::vector<fault_kind> cut_faults();
    [[nodiscard]] std::vector<fault_kind> stop_faults();
    [[nodiscard]] std::vector<fault_kind> entry_faults();
    [[nodiscard]] std::vector<fault_kind> message_faults();
    [[nodiscard]] std::vector<fault_kind> value_faults();
    /// \returns The faults of each series, which run at the same time.
    [[nodiscard]] std::vector<std::vector<fault_kind>> series_of_run();
    [[nodiscard]] std::vector<std::vector<fault_kind>> stress_series();
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
    /// Stops an instance of which callers hold idle connections; see
    /// `late_requests`.
    void stop_with_late_requests(random_source& random);
    /// Adds servers that are no replicas, whose entries `write_foreign_entry`
    /// writes.
    void add_foreign_servers();
    /// Writes an entry of another program for a while: incomplete, of a service
    /// that nobody names, or one that can't be read.
    void write_foreign_entry(random_source& random);
    /// Lets all replicas of a service refuse most requests, and send many
    /// answers twice.
    void shed_at_service(random_source& random);
    /// Ends all processes at the same moment, sometimes the replicas' too, and
    /// starts them again.
    void end_all(random_source& random);
    /// Starts all replicas again, under other ids; their connections are reset.
    void restart_replicas();
    /// Signals the instance, waits for its exit and starts it again.
    void restart_by_signal(int instance, random_source& random);
    /// Silences all replicas, while requests are open and configurations come.
    void silence_replicas(random_source& random);
    /// Publishes configurations of up to 1 MB in quick succession.
    void send_config_storm(random_source& random);
    /// Writes entries of up to 1 MiB that can't be read, and removes them.
    void write_foreign_values(random_source& random);
    /// Writes keys of another program that end like those of live replicas.
    void write_foreign_keys(random_source& random);
    /// Lets a replica, or all of its service, answer with bytes without end.
    void send_endless_answers(random_source& random);
    void evacuate(random_source& random);
    void replace_replica(random_source& random);
    void change_config(random_source& random);
    void store_outage(random_source& random);
    void return_store(random_source& random);
    void leave_by_answer(random_source& random);
    void pause_replicas(random_source& random);
    void limit_rate(random_source& random);
    void send_crashing_requests(random_source& random);
    void crash(const std::shared_ptr<replica_standin>& replica);
    void cut_from_replicas(random_source& random);

    const soak_options* options_;
    std::uint64_t seed_;
    run_addresses addresses_;
    random_source config_random_;
    std::mutex faults_mutex_; ///< Guards `injected_faults_`.
    testing::net::io_context context_;
    invariant_checker checker_;
    store store_;
    store second_store_; ///< Names the second links to the replicas.
    replicas replicas_;
    std::vector<std::unique_ptr<proxy>> store_links_;
    std::vector<std::unique_ptr<proxy>> replica_links_;
    std::vector<std::unique_ptr<proxy>> second_replica_links_;
    bool second_links_cut_ = false;
    std::thread thread_;
    fleet* fleet_ = nullptr;
    callers* callers_ = nullptr;
    std::vector<std::string> added_paths_;
    std::uint64_t config_version_ = 0;
    /// Bytes that are added to each configuration.
    std::size_t config_padding_ = 0;
    std::string injected_faults_;
    std::mutex stops_mutex_; ///< Guards `stopping_`.
    std::set<int> stopping_; ///< Instances in a planned stop.
};

} // namespace peridotward::soak
