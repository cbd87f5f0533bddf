#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace peridotward::soak {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// What one caller's attempt was and what came of it.
struct attempt_record
{
    std::string id;
    std::string path;
    int instance = 0;
    bool once = false; ///< At most once.
    steady::time_point sent;
    steady::time_point ended;
    int status = 0; ///< 0: the connection gave no whole answer.
    std::string parts;
    std::string missing;
    std::string body;
    bool refused_to_connect = false;
};

/// One run of a request at a replica.
struct run_record
{
    std::string id;
    std::string service;
    std::string replica;
    std::string domain;
    steady::time_point at;
};

/// A span in which an instance is not held to bounds of time.
struct disturbance
{
    int instance = 0; ///< -1: all of them.
    steady::time_point from;
    steady::time_point until;
    bool planned_stop = false; ///< Must cut no request, all the same.
};

/// Keeps what callers and replicas saw, and checks the promises against it.
class judge
{
public:
    static constexpr std::uint32_t shards = 5;
    static constexpr std::uint32_t top_records = 6;
    static constexpr milliseconds evacuation_bound{5000};
    static constexpr milliseconds drain_bound{3000};
    static constexpr milliseconds config_bound{3000};
    static constexpr milliseconds contact{4000};
    static constexpr double repeat_ratio = 0.2;
    static constexpr double repeat_extra = 56;
    static constexpr milliseconds repeat_window{10000};

    void attempt(attempt_record record);
    void run(run_record record);
    void disturb(disturbance span);
    void evacuated(const std::string& domain, bool begins);
    void left(const std::string& replica);
    void published(const std::string& path);

    /// \returns What was broken, a line each.
    [[nodiscard]] std::vector<std::string> verdict() const;
    /// \returns Served and asked of the last `span`.
    [[nodiscard]] std::pair<std::size_t, std::size_t>
    served_since(steady::time_point from) const;
    [[nodiscard]] std::size_t attempts() const;
    [[nodiscard]] std::size_t repeats() const;

    /// \returns The records that `service` holds for a request.
    [[nodiscard]] static std::vector<std::string>
    records_of(const std::string& id, const std::string& service);

private:
    [[nodiscard]] bool disturbed(
        int instance, steady::time_point from, steady::time_point to) const;
    void check_answers(std::vector<std::string>& broken) const;
    void check_search(
        const attempt_record& record, std::vector<std::string>& broken) const;
    void check_once(std::vector<std::string>& broken) const;
    void check_places(std::vector<std::string>& broken) const;
    void check_stops(std::vector<std::string>& broken) const;
    void check_configuration(std::vector<std::string>& broken) const;
    void check_repeats(std::vector<std::string>& broken) const;

    mutable std::mutex mutex_;
    std::vector<attempt_record> attempts_;
    std::vector<run_record> runs_;
    std::vector<disturbance> disturbances_;
    std::vector<std::pair<
        std::string,
        std::pair<steady::time_point, steady::time_point>>>
        evacuations_;
    std::map<std::string, steady::time_point> left_;
    std::map<std::string, steady::time_point> published_;
};

} // namespace peridotward::soak
