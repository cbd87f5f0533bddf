#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotward::soak {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// One request of a caller and its outcome.
struct attempt_record
{
    std::string id;
    std::string path;
    int instance = 0;
    bool at_most_once = false; ///< Must not execute more than once.
    steady::time_point sent;
    steady::time_point ended;
    int status = 0; ///< 0: no complete response was received.
    /// What was received instead is no response in the protocol.
    bool malformed = false;
    std::string part_stamps;
    std::string missing_shards;
    std::string body;
    bool refused_to_connect = false;
    /// Sent on a connection that was idle, which the instance may close at the
    /// same moment.
    bool on_idle_connection = false;
    /// The caller reads until the answer, or the end of the connection.
    bool reads_late = false;
    /// `body` was the right one, and isn't kept: huge answers would take up
    /// gigabytes.
    bool body_checked = false;
};

/// One execution of a request by a replica.
struct execution_record
{
    std::string id;
    std::string service;
    std::string replica;
    std::string domain;
    steady::time_point at;
};

/// One request that reached a replica, run or refused.
struct arrival_record
{
    std::string id;
    std::string replica_start; ///< Replica and start.
    steady::time_point at;
};

/// What a replica said of itself in an answer.
struct notice_record
{
    std::string id; ///< Of the answered request.
    std::string service;
    std::string replica_start; ///< Replica and start.
    steady::time_point at;
    /// For so long the replica wants no requests; zero if it is leaving.
    milliseconds pause{};
};

/// A rate limit that a replica named in an answer.
struct rate_limit_record
{
    std::string id;            ///< Of the answered request.
    std::string replica_start; ///< Replica and start.
    steady::time_point at;
    double per_second = 0;
};

enum class disturbance_kind : std::uint8_t
{
    connections,  ///< To the store or to replicas, or the store itself.
    paused,       ///< The process was stopped for a while.
    restarted,    ///< The process was killed or is starting.
    planned_stop, ///< Still must not break off any request.
    cut_off,      ///< The instance reaches no replica.
};

/// In place of the number of an instance.
inline constexpr int all_instances = -1;
inline constexpr int no_instance = -2;

/// A time span in which an instance is exempt from time bounds.
struct disturbance
{
    int instance = 0; ///< Or `all_instances`.
    steady::time_point from;
    steady::time_point until;
    disturbance_kind kind = disturbance_kind::connections;
};

/// Records what callers and replicas observe during a soak run, and checks the
/// guarantees of the gateways against these records.
class invariant_checker
{
public:
    static constexpr std::uint32_t top_records = 6;
    /// Max. time until an evacuated domain, a draining replica and a new
    /// configuration are honoured by every instance.
    static constexpr milliseconds evacuation_bound{5000};
    static constexpr milliseconds drain_bound{3000};
    static constexpr milliseconds config_bound{3000};
    /// Time after a replica's request for a pause from which at most
    /// `max_requests_in_pause` may still arrive.
    static constexpr milliseconds pause_bound{500};
    static constexpr std::size_t max_requests_in_pause = 2;
    /// From `rate_limit_bound` after a replica named a limit, it gets within
    /// `rate_limit_span` at most the factor times the limit and the allowance,
    /// from instances that it told `rate_limit_notice` before.
    static constexpr milliseconds rate_limit_bound{4000};
    static constexpr milliseconds rate_limit_span{4000};
    static constexpr milliseconds rate_limit_notice{500};
    static constexpr double rate_limit_factor = 1.5;
    static constexpr double rate_limit_allowance = 5;
    /// Added to the end of a disturbance: an instance needs this long to
    /// regain contact with the others.
    static constexpr milliseconds recovery_allowance{4000};
    /// The retry budget of each service: within any window, extra attempts are
    /// at most the base plus the ratio times the first attempts.
    static constexpr double extra_attempt_ratio = 0.2;
    static constexpr double extra_attempt_base = 56;
    static constexpr milliseconds extra_attempt_window{10000};

    /// Size of an answer that is larger than the buffers of a connection.
    static constexpr std::size_t large_answer_bytes = 256U << 10U;
    /// Size of the answers of callers that read late.
    static constexpr std::size_t huge_answer_bytes = 2U << 20U;
    /// Begins the ids of servers that are no replicas.
    static constexpr const char* foreign_id = "foreign";

    /// Prefix of the requests to the service whose replicas crash.
    static constexpr const char* brittle_path = "/brittle/";
    /// Time after the third crash by a request from which it may arrive
    /// `max_late_arrivals` times more.
    static constexpr milliseconds crash_bound{4000};
    static constexpr std::size_t max_late_arrivals = 3;
    /// Time from which the callers of an instance that is cut off from the
    /// replicas are served, and how often at least compared with the others.
    static constexpr milliseconds cut_bound{4000};
    static constexpr double min_cut_share = 2.0 / 3;
    static constexpr std::size_t cut_allowance = 10;
    static constexpr milliseconds interruption_allowance{1500};
    /// Time from the last fault until the fleet must have recovered, and the
    /// time for which that is checked.
    static constexpr milliseconds settle_time{4500};
    static constexpr milliseconds checked_time{2000};
    /// Min. share of the requests with status 200 after a fleet has recovered.
    static constexpr double min_served_share = 0.9;
    /// A request that crosses the close of an idle connection ends within this
    /// time, without having reached a replica.
    static constexpr milliseconds crossing_time{200};
    /// Time within which an instance that shuts down refuses what it can't
    /// serve: a quarter of what the callers wait.
    static constexpr milliseconds refusal_bound{1000};

    /// \param shards The number of services that a search is split over.
    /// \param resident_mb Largest accepted resident size of a process.
    invariant_checker(std::uint32_t shards, std::size_t resident_mb)
        : shards_{shards}, resident_mb_{resident_mb}
    {}

    void record_attempt(attempt_record record);
    /// Records that a replica ended under a request that crashes it.
    void record_crash(const std::string& replica_start);
    void record_execution(execution_record record);
    void record_arrival(arrival_record record);
    void record_notice(notice_record record);
    void record_rate_limit(rate_limit_record record);
    void record_disturbance(disturbance span);
    /// Records that the evacuation of `domain` begins or ends now.
    void record_evacuation(const std::string& domain, bool begins);
    /// Records that `replica` drains from now on.
    void record_drain(const std::string& replica);
    /// \returns The least size of the answer to a request for `target`.
    [[nodiscard]] static std::size_t answer_bytes(const std::string& target);
    /// Records the largest resident size that a process has had.
    void record_memory(int instance, std::size_t peak_mb);
    /// Records that a process ended without a signal.
    void record_own_end(int instance);
    /// Records that the fleet must have recovered by now, until `until`.
    void record_recovery(steady::time_point until);
    /// Records that a configuration with the route `path` is published now.
    void record_publication(const std::string& path);

    /// \returns One line for each violated guarantee.
    [[nodiscard]] std::vector<std::string> find_violations() const;
    /// \returns The largest resident size of all processes, in MB.
    [[nodiscard]] std::size_t peak_memory_mb() const;
    /// \returns The number of attempts sent at or after `from` that got status
    /// 200, and the number of all attempts sent since then.
    [[nodiscard]] std::pair<std::size_t, std::size_t>
    count_served_since(steady::time_point from) const;
    [[nodiscard]] std::size_t attempts() const;
    /// \returns Executions beyond the first of each request at each service.
    [[nodiscard]] std::size_t extra_attempts() const;

    /// \returns The body with which a replica answers request `id`, filled up
    /// to `min_size`.
    [[nodiscard]] static std::string
    body_of(const std::string& id, std::size_t min_size);
    /// \returns The records with which a replica of `service` answers request
    /// `id`.
    [[nodiscard]] static std::vector<std::string>
    records_of(const std::string& id, const std::string& service);

private:
    using attempts_by_id =
        std::unordered_map<std::string, const attempt_record*>;

    [[nodiscard]] bool is_disturbed(
        int instance, steady::time_point from, steady::time_point to) const;
    /// \returns Whether the process of `instance` was paused or restarted.
    [[nodiscard]] bool is_interrupted(
        int instance, steady::time_point from, steady::time_point to) const;
    [[nodiscard]] bool is_restarted(
        int instance, steady::time_point from, steady::time_point to) const;
    [[nodiscard]] attempts_by_id attempts_with_ids() const;
    void check_answers(std::vector<std::string>& violations) const;
    void check_search(
        const attempt_record& record,
        std::vector<std::string>& violations) const;
    void check_at_most_once(std::vector<std::string>& violations) const;
    void check_destinations(std::vector<std::string>& violations) const;
    void check_planned_stops(std::vector<std::string>& violations) const;
    void check_configuration(std::vector<std::string>& violations) const;
    void check_starts(std::vector<std::string>& violations) const;
    void check_downgrades(std::vector<std::string>& violations) const;
    void check_extra_attempts(std::vector<std::string>& violations) const;
    void check_leaving(std::vector<std::string>& violations) const;
    void check_pauses(std::vector<std::string>& violations) const;
    void check_rate_limits(std::vector<std::string>& violations) const;
    void check_crashes(std::vector<std::string>& violations) const;
    void check_cuts(std::vector<std::string>& violations) const;

    void check_recoveries(std::vector<std::string>& violations) const;
    void check_memory(std::vector<std::string>& violations) const;
    void check_late_readers(std::vector<std::string>& violations) const;

    std::uint32_t shards_;
    std::size_t resident_mb_;
    mutable std::mutex mutex_;
    std::vector<attempt_record> attempts_;
    std::vector<execution_record> executions_;
    std::vector<arrival_record> arrivals_;
    std::vector<notice_record> notices_;
    std::vector<rate_limit_record> rate_limits_;
    std::vector<disturbance> disturbances_;
    std::vector<std::pair<
        std::string,
        std::pair<steady::time_point, steady::time_point>>>
        evacuations_;
    std::vector<std::pair<steady::time_point, steady::time_point>> recoveries_;
    std::vector<int> own_ends_;
    std::map<int, std::size_t> peak_mb_; ///< By instance.
    std::map<std::string, steady::time_point> crash_times_;
    std::map<std::string, steady::time_point> drain_times_;
    std::map<std::string, steady::time_point> publication_times_;
};

} // namespace peridotward::soak
