#pragma once

#include "../data/records.hpp"
#include "domain_meter.hpp"
#include "search_answer.hpp"
#include "service_journal.hpp"
#include "upstream_behaviour.hpp"
#include "upstream_ledger.hpp"

#include <peridotward/base/random.hpp>
#include <peridotward/config/bundle.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <unordered_map>

namespace peridotward::testing {

/// What the upstreams of one process share.
struct shared_state
{
    const record_set* records = nullptr;
    bundle_ptr defined;
    std::vector<service_journal> journals; ///< By service.
    std::vector<domain_meter> domains;     ///< By failure domain.
    double domain_delay_ms = 0;            ///< One way between domains.
    bool connect_cost = false;             ///< New connections cost time.
};

/// One upstream with its listener.
class upstream_standin
{
public:
    upstream_standin(
        net::io_context& context,
        shared_state& shared,
        upstream_index index,
        std::uint64_t seed);

    void start();
    void change(const json& behaviour);

    [[nodiscard]] const std::string& id() const { return definition().id; }
    [[nodiscard]] const upstream& definition() const;
    [[nodiscard]] const std::string& domain() const;
    [[nodiscard]] json ledger() const;

private:
    struct work;
    using work_ptr = std::shared_ptr<work>;

    void on_connection();
    void on_request(const standin_request& request, respond answer);
    void dispatch(const standin_request& request, respond answer);
    void search(const standin_request& request, respond answer);
    void fetch(const standin_request& request, respond answer);
    void append(const standin_request& request, respond answer);
    void cancel(const standin_request& request, const respond& answer);
    bool admit(const respond& answer);
    void note_forbidden();
    void
    run(const std::string& request,
        double deadline_ms,
        respond answer,
        std::function<std::string()> produce);
    void finish(
        const work_ptr& job,
        const std::string& request,
        unsigned status,
        std::string body);
    void send(const respond& answer, unsigned status, std::string body);
    void warm_up_if_due();
    [[nodiscard]] std::string search_body(const search_question& wanted);
    [[nodiscard]] bool serves(key_range range, snapshot_id snapshot) const;
    [[nodiscard]] bool far_away(const standin_request& request) const;
    [[nodiscard]] std::uint32_t bears() const;
    [[nodiscard]] double service_time_ms();
    [[nodiscard]] const service& served() const;

    net::io_context* context_;
    shared_state* shared_;
    upstream_index index_;
    random_source random_;
    upstream_behaviour behaviour_;
    upstream_ledger ledger_;
    std::chrono::steady_clock::time_point forbidden_since_;
    std::chrono::steady_clock::time_point cold_since_;
    std::uint64_t completed_when_cold_ = 0;
    std::string previous_body_;
    std::unordered_multimap<std::string, work_ptr> working_;
};

} // namespace peridotward::testing
