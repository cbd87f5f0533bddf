#pragma once

#include "../data/records.hpp"
#include "http_standin.hpp"

#include <peridotward/base/random.hpp>
#include <peridotward/config/bundle.hpp>
#include <peridotward/core/attempt.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace peridotward::testing {

/// What a test sets on one upstream.
struct upstream_behaviour
{
    upstream_phase phase = upstream_phase::warm;
    upstream_phase reported =
        upstream_phase::unknown; ///< Unless unknown, a lie.
    snapshot_range snapshots{1, 1};
    double service_ms = 4;
    double straggler_share = 0;
    double straggler_factor = 20;
    bool shed = false;
    bool down = false;      ///< Closes every connection.
    bool forbidden = false; ///< Any request is a violation.
    wire_fault fault;
};

/// What really reached one upstream.
struct upstream_ledger
{
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t shed = 0;
    std::uint64_t slot_overruns = 0;
    std::uint64_t bear_limit_violations = 0;
    std::uint64_t connection_overruns = 0;
    std::uint64_t forbidden_requests = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t max_in_flight = 0;
    std::uint32_t connections = 0;
    std::uint32_t max_connections = 0;
    double last_forbidden_ms = 0; ///< Since it was forbidden.
};

/// One upstream with its listener.
class upstream_standin
{
public:
    upstream_standin(
        net::io_context& context,
        bundle_ptr defined,
        upstream_index index,
        const record_set& records,
        std::uint64_t seed);

    void start();
    void change(const json& behaviour);

    [[nodiscard]] const std::string& id() const;
    [[nodiscard]] const upstream& definition() const;
    [[nodiscard]] json ledger() const;
    [[nodiscard]] std::uint64_t doubled_runs() const noexcept
    {
        return doubled_runs_;
    }

private:
    struct work;

    void on_request(standin_request request, respond answer);
    void search(const standin_request& request, respond answer);
    void fetch(const standin_request& request, respond answer);
    void append(const standin_request& request, respond answer);
    void cancel(const standin_request& request, const respond& answer);
    bool admit(const respond& answer);
    void
    run(const std::string& request,
        double deadline_ms,
        respond answer,
        std::function<std::string()> produce);
    void finish(const std::string& request, unsigned status, std::string body);
    void send(const respond& answer, unsigned status, std::string body);
    [[nodiscard]] std::uint32_t bears() const;
    [[nodiscard]] double service_time_ms();

    net::io_context* context_;
    bundle_ptr defined_;
    upstream_index index_;
    const record_set* records_;
    random_source random_;
    upstream_behaviour behaviour_;
    upstream_ledger ledger_;
    std::chrono::steady_clock::time_point forbidden_since_;
    std::multimap<std::string, std::shared_ptr<work>> working_;
    std::map<std::string, std::uint32_t> journal_;
    std::uint64_t doubled_runs_ = 0;
};

} // namespace peridotward::testing
