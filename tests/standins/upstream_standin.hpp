#pragma once

#include "../data/records.hpp"
#include "domain_meter.hpp"
#include "search_answer.hpp"
#include "service_journal.hpp"
#include "upstream_behaviour.hpp"
#include "upstream_counters.hpp"

#include <peridotward/base/random.hpp>
#include <peridotward/config/bundle.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <unordered_map>

namespace peridotward::testing {

/// The state that all upstreams of one process share.
struct shared_state
{
    const record_set* records = nullptr;
    bundle_ptr current_bundle;
    std::vector<service_journal> journals; ///< By service.
    std::vector<domain_meter> domains;     ///< By failure domain.
    double domain_delay_ms = 0; ///< One-way delay between failure domains.
    bool connect_cost = false;  ///< Apply the connect cost of each service.
};

/// A stand-in for one upstream.
class upstream_standin
{
public:
    upstream_standin(
        net::io_context& context,
        shared_state& shared,
        upstream_index index,
        std::uint64_t seed);

    /// Opens the listener.
    void start();
    /// Applies the members of `behaviour` to the current behaviour.
    void change(const json& behaviour);

    [[nodiscard]] const std::string& id() const { return definition().id; }
    [[nodiscard]] const upstream& definition() const;
    [[nodiscard]] const std::string& domain() const;
    /// \returns The counters with the id, service, domain and phase.
    [[nodiscard]] json ledger() const;

private:
    struct pending_request;
    using pending_request_ptr = std::shared_ptr<pending_request>;

    void on_connection();
    void on_request(const standin_request& request, respond answer);
    void dispatch(const standin_request& request, respond answer);
    void search(const standin_request& request, respond answer);
    void fetch(const standin_request& request, respond answer);
    void append(const standin_request& request, respond answer);
    void cancel(const standin_request& request, const respond& answer);
    void count_overrun();
    bool admit(const respond& answer);
    void count_forbidden();
    void
    run(const std::string& request,
        double deadline_ms,
        respond answer,
        std::function<std::string()> produce);
    void finish(
        const pending_request_ptr& pending,
        const std::string& request,
        unsigned status,
        std::string body);
    void send(const respond& answer, unsigned status, std::string body);
    void warm_up_if_due();
    [[nodiscard]] std::string search_body(const search_request& query);
    [[nodiscard]] bool serves(key_range range, snapshot_id snapshot) const;
    [[nodiscard]] bool crosses_domains(const standin_request& request) const;
    [[nodiscard]] std::uint32_t slot_limit() const;
    [[nodiscard]] double service_time_ms();
    [[nodiscard]] const service& service_definition() const;

    net::io_context* context_;
    shared_state* shared_;
    upstream_index index_;
    random_source random_;
    upstream_behaviour behaviour_;
    upstream_counters counters_;
    std::chrono::steady_clock::time_point forbidden_since_;
    std::chrono::steady_clock::time_point cold_since_;
    std::uint64_t completed_when_cold_ = 0;
    std::uint32_t unannounced_remaining_ = 0; ///< Left of this cold start.
    std::string previous_body_;
    std::unordered_multimap<std::string, pending_request_ptr> pending_requests_;
};

} // namespace peridotward::testing
