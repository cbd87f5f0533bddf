#pragma once

#include "invariant_checker.hpp"
#include "store.hpp"

#include <peridotward/base/random.hpp>

#include <http_standin.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward::soak {

/// Share of answers that each replica breaks off when no fault is injected.
inline constexpr double base_break_share = 0.005;

/// Requests below it get an answer of `large_answer_bytes`.
inline constexpr std::string_view large_path = "/large/";

/// Requests below it get an answer of `huge_answer_bytes`.
inline constexpr std::string_view huge_path = "/huge/";

/// The digits that follow in a target are the milliseconds of its work.
inline constexpr std::string_view work_mark = "work-";

/// One replica: its identity and its faults.
struct replica_standin
{
    std::string id;
    std::string service;
    std::string domain;
    std::string host;
    std::uint16_t port = 0;
    std::uint16_t published_port =
        0;                ///< Port of the proxy in front of the replica.
    std::size_t link = 0; ///< Index of the proxy in front of the replica.
    double shed_share = 0;
    double break_share = base_break_share;
    double hang_share = 0;
    std::uint32_t slots = 4;
    /// Connections beyond it are closed at once; 0 for no limit.
    std::uint32_t max_connections = 0;
    std::uint32_t connections = 0;
    std::uint32_t running = 0;
    std::uint64_t start_id = 1;
    bool crashing = false; ///< Ends soon, or has ended.
    bool leaving = false;  ///< Says in all answers that it is leaving.
    /// Turns all requests away and asks for a pause of this length, if not
    /// zero.
    milliseconds pause{};
    /// Requests a second that all answers name as a limit; 0 for none.
    double rate_limit = 0;
    /// Its entry in the store isn't one of a replica.
    bool foreign = false;
    /// Answers with bytes without end.
    testing::endless_bytes endless = testing::endless_bytes::none;
    bool has_fault = false; ///< Another fault must leave the replica alone.

    [[nodiscard]] std::string start_name() const
    {
        return id + "#" + std::to_string(start_id);
    }
};

/// All replicas of a run; their callbacks run on one thread.
class replicas
{
public:
    replicas(
        testing::net::io_context& context,
        invariant_checker& checker,
        store& shared,
        std::uint64_t seed);

    /// Listens for `replica` and publishes it in the store.
    void add(replica_standin replica);
    /// Listens for a server of another program, which publishes nothing itself.
    void add_foreign(replica_standin server);
    /// Writes the entry of the replica to the store.
    void publish(const replica_standin& replica, bool draining = false);
    /// Share of all answers that a replica sends a second time, late.
    double late_copy_share = 0;
    /// Share of the requests that a replica runs and answers with a status that
    /// promises the contrary, that is none, or after interim answers.
    double odd_status_share = 0;

    /// Called when a request has crashed the replica.
    std::function<void(const std::shared_ptr<replica_standin>&)> on_crash;

    [[nodiscard]] std::vector<std::shared_ptr<replica_standin>>& all() noexcept
    {
        return all_;
    }

private:
    void on_request(
        const std::shared_ptr<replica_standin>& replica,
        testing::standin_request request,
        testing::respond answer);
    void listen_for(const std::shared_ptr<replica_standin>& replica);
    /// \brief Gives some answers to requests that were run an odd status.
    void add_odd_status(testing::wire_fault& fault);
    /// \returns `answer`, which sends some responses twice.
    [[nodiscard]] testing::respond with_late_copies(testing::respond answer);

    testing::net::io_context* context_;
    invariant_checker* checker_;
    store* store_;
    random_source random_;
    random_source status_random_;
    std::vector<std::shared_ptr<replica_standin>> all_;
};

} // namespace peridotward::soak
