#pragma once

#include <peridotward/core/accounts/account_quotas.hpp>
#include <peridotward/core/accounts/authentication.hpp>
#include <peridotward/core/admission/load_report_exchange.hpp>
#include <peridotward/core/admission/memory_budget.hpp>
#include <peridotward/core/admission/retry_schedule.hpp>
#include <peridotward/core/admission/shutdown_schedule.hpp>
#include <peridotward/core/gather/forwarded_request.hpp>
#include <peridotward/core/membership/relay_targets.hpp>
#include <peridotward/core/placement/rate_share_exchange.hpp>
#include <peridotward/core/quarantine/crash_history_exchange.hpp>
#include <peridotward/core/quarantine/interrupted_requests.hpp>
#include <peridotward/core/routing/weighted_round_robin.hpp>
#include <peridotward/gateway/counters.hpp>
#include <peridotward/gateway/event_log.hpp>
#include <peridotward/gateway/gateway_settings.hpp>
#include <peridotward/gateway/header_names.hpp>
#include <peridotward/gateway/http_session.hpp>
#include <peridotward/gateway/upstream_pool.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotward {

class forward_operation;
class quota_wait;
class relay_operation;

/// \brief Routes callers' requests and forwards them to upstreams.
class forwarder final : public http_handler
{
public:
    /// Retry-After of requests that arrive before the first configuration: a
    /// starting instance reads its configuration within this time.
    static constexpr milliseconds retry_after_start{250};

    /// Values of the field `relayed` in an answer: the instance is cut off, has
    /// an older route for the request, or found no replica that it could use.
    static constexpr std::string_view relayed_cut_off = "cut-off";
    static constexpr std::string_view relayed_declined = "older-route";
    static constexpr std::string_view relayed_not_run = "not-run";
    /// What instances add to the head of a request that they relay, at most.
    static constexpr std::size_t relay_head_bytes = 1024;
    /// Reason of refusals while the upstreams are overloaded.
    static constexpr std::string_view overloaded =
        "not run: the upstreams are overloaded";
    /// Reason of refusals of requests that don't fit into the shutdown.
    static constexpr std::string_view stopping =
        "not run: the instance is shutting down";
    /// Other instances that a refusal during the shutdown names.
    static constexpr std::size_t max_alternatives = 3;
    /// Reason of refusals while the memory for large answers is in use.
    static constexpr std::string_view no_memory =
        "not run: the memory for answers of this size is in use";
    /// Retry-After of these refusals. Callers usually take an answer within a
    /// part of it.
    static constexpr milliseconds retry_after_memory{500};
    /// Reason of refusals while no upstream can be reached.
    static constexpr std::string_view no_upstream =
        "not run: no upstream can be reached";

    forwarder(
        reactor& loop,
        event_log& log,
        counters& stats,
        const gateway_settings& settings,
        const header_names& names,
        std::uint64_t seed);
    ~forwarder();

    void on_request(http_session& session) override;
    void on_caller_disconnect(http_session& session) override;
    [[nodiscard]] caller_limits limits() const override;
    [[nodiscard]] std::size_t
    extra_head_bytes(const http_session& session) const override;
    [[nodiscard]] memory_budget* request_memory() override
    {
        return memory_.get();
    }
    [[nodiscard]] bool closing() const override
    {
        return shutdown_.has_value();
    }

    /// \brief Replaces the current configuration if `config` has a higher
    /// version.
    void apply(forward_config_ptr config);

    /// \brief Sets the view of the other instances; `fleet.self` is ignored.
    void set_fleet(fleet_view fleet);

    /// \brief Handles a message of another instance.
    void on_peer_message(std::string_view from, const peer_message& message);

    /// Called with the messages for other instances.
    std::function<void(std::vector<outgoing_message>)> send_to_peers;

    /// Returns the instances that may serve requests in place of this one.
    std::function<std::vector<instance_candidate>()> relay_candidates;

    /// Returns the instances that the directory lists for callers of this
    /// instance's failure domain, at most `max_alternatives`.
    std::function<std::vector<instance_candidate>()> alternatives;

    /// \returns Whether other instances serve the requests of this one, which
    /// reaches no upstream; the directory should list only them.
    [[nodiscard]] bool replaced() const noexcept { return replaced_; }

    [[nodiscard]] account_quotas& quotas() noexcept { return quotas_; }

    /// \returns The memory of large requests and answers.
    [[nodiscard]] const memory_budget& memory() const noexcept
    {
        return *memory_;
    }

    /// \brief Applies the retry, cold-start and quota limits of the changed
    /// settings.
    void apply_settings();

    /// \brief From now on closes callers' connections after each answer, ends
    /// open requests by the end of `schedule`, and refuses those that don't fit
    /// into it.
    void begin_shutdown(const shutdown_schedule& schedule);

    /// \brief Closes overdue connections and removes expired replicas; called
    /// periodically.
    void check(time_point now);

    [[nodiscard]] const forward_config_ptr& config() const noexcept
    {
        return config_;
    }
    [[nodiscard]] upstream_catalog& catalog() noexcept { return catalog_; }
    [[nodiscard]] upstream_pool& pool() noexcept { return pool_; }
    [[nodiscard]] const crash_history& crashes() const noexcept
    {
        return crash_history_;
    }
    [[nodiscard]] const load_shedders& shedders() const noexcept
    {
        return load_shedders_;
    }
    [[nodiscard]] std::size_t open_requests() const noexcept
    {
        return open_requests_;
    }

private:
    friend class forward_operation;
    friend class quota_wait;
    friend class relay_operation;

    /// \brief Records the size of an answer, or a part of one.
    void record_answer_size(const forward_route& route, std::size_t bytes);
    /// \returns Whether the request was refused because its answer, if it is
    /// like the last ones of its route, could hardly be read in time.
    bool refuse_without_memory(
        http_session& session,
        const pinned_route& route,
        const std::vector<forward_service_index>& services);
    void log_memory(time_point now);
    /// \returns The latencies of the requests of `route`, by its name.
    [[nodiscard]] const latency_profile_ptr&
    profile_of(const forward_route& route);
    /// \brief Handles a request that has arrived, or that has waited for a
    /// credit of its account's quota.
    void handle(http_session& session, std::optional<time_point> waited_since);
    /// \brief Charges a request to the quota of its account.
    /// \returns Whether it is admitted; if not, it has been refused or waits.
    bool charge(
        http_session& session,
        const client_account& account,
        std::optional<time_point> waited_since);
    /// \brief Lets the requests that wait for credits of `account` try again.
    void resume(const std::string& account);
    void log_quota_refusals(time_point now);
    void refuse(
        http_session& session,
        std::uint32_t status,
        std::string_view reason,
        milliseconds retry_after = {},
        std::string_view extra_fields = {});
    [[nodiscard]] retry_schedule&
    retry_schedule_of(const forwarded_request& request);
    /// \param source What said it: `answer`, or the instance that told this
    /// one.
    void log_rate_limit(replica_number number, std::string_view source);
    void log_retry_budgets(time_point now);
    /// \brief Logs where requests begin or cease to be refused because of
    /// overload, and each second in between.
    void log_load_shedding(time_point now);
    /// \returns Whether the request was refused because it crashes upstreams.
    bool refuse_quarantined(
        http_session& session, const request_fingerprints& fingerprints);
    /// \brief Records that a replica ended the connection on which it ran the
    /// request.
    void on_interrupted(
        replica_number number,
        const request_fingerprints& fingerprints,
        const crash_history::marks& sent_with);
    /// \brief Records that a replica has ended; the requests that it
    /// interrupted may have caused that.
    void on_replica_ended(replica_number number);
    void
    log_crash_level(request_fingerprint fingerprint, std::string_view source);
    void exchange_crash_history();
    void check_upstream_contact(time_point now);
    void probe_upstreams(time_point now);
    /// \brief Lets another instance serve a request.
    /// \param execution What is known of the attempts that this instance made.
    void relay(
        http_session& session,
        const pinned_route& route,
        const forward_times& times,
        const std::string& request_id,
        attempt_execution execution);
    /// \brief Counts an answer that isn't passed on since it promises that the
    /// request has not run.
    void count_withheld(const attempt_answer& answer);
    /// \brief Refuses a request that this instance can't serve now, so that an
    /// instance that relayed it may ask another one.
    /// \param relayed Value of the field `relayed` in the answer.
    void refuse_unreachable(
        http_session& session,
        std::string_view reason,
        std::string_view relayed);
    /// \returns The fields of the request that hold the key of an account; none
    /// if the configuration has no accounts.
    [[nodiscard]] request_credentials
    credentials_of(const request_message& request) const;
    /// \returns Whether the configuration in force still accepts a request
    /// that was admitted to `route` of an earlier one.
    [[nodiscard]] authentication authenticate_again(
        const http_session& session, const pinned_route& route) const;
    /// \brief Applies the instance's share of the connections to all replicas,
    /// after a change of the fleet.
    void update_connection_limits();
    /// \brief Refuses a request that doesn't fit into the shutdown, and names
    /// instances that serve it.
    void refuse_stopping(http_session& session);
    /// \brief Refuses a request without a key that its route accepts.
    void refuse_unauthenticated(
        http_session& session, authentication_outcome outcome);
    /// \returns Whether an instance relayed the request that has a later
    /// configuration with another route for it than `route`, if any.
    [[nodiscard]] bool is_behind(
        const request_message& request,
        const std::optional<pinned_route>& route) const;
    /// \returns Whether another instance runs at the address of the caller.
    [[nodiscard]] bool is_instance(const std::string& host) const;
    /// \returns The network address of the caller, also if another instance
    /// relayed the request.
    [[nodiscard]] std::string_view caller_of(const http_session& session) const;
    [[nodiscard]] forward_context context() noexcept
    {
        return {
            &catalog_,
            &replica_selector_,
            &retry_budgets_,
            &fleet_,
            &load_shedders_};
    }

    reactor* loop_;
    event_log* log_;
    counters* stats_;
    const gateway_settings* settings_;
    const header_names* names_;
    random_source random_;
    upstream_catalog catalog_;
    replica_selector replica_selector_;
    rate_share_exchange rate_share_exchange_;
    crash_history crash_history_;
    crash_history_exchange crash_history_exchange_;
    interrupted_requests interrupted_requests_;
    relay_targets relay_targets_;
    retry_budgets retry_budgets_;
    load_shedders load_shedders_;
    load_report_exchange load_report_exchange_;
    account_quotas quotas_;
    fleet_view fleet_;
    boost::intrusive_ptr<memory_budget> memory_;
    upstream_pool pool_;
    forward_config_ptr config_;
    weighted_round_robin turns_;
    std::unordered_map<std::string, latency_profile_ptr> profiles_;
    /// By route, of those that had large answers: their size, which falls with
    /// each smaller one.
    std::unordered_map<std::string, std::size_t> answer_sizes_;
    time_point next_memory_log_;
    std::unordered_map<std::string, request_deadlines> request_deadlines_;
    /// By the name of the route's first service, so that routes to the same
    /// upstreams share one schedule.
    std::unordered_map<std::string, retry_schedule> retry_schedules_;
    time_point next_budget_log_;
    /// By account: the refusals beyond its quota since the last log line.
    std::map<std::string, std::uint64_t, std::less<>> quota_refusals_;
    time_point next_quota_log_;
    /// By set of services that is overloaded: when to log it again.
    std::unordered_map<std::string, time_point> next_shedding_log_;
    std::size_t open_requests_ = 0;
    std::optional<shutdown_schedule> shutdown_;
    bool contact_lost_ = false; ///< As logged.
    bool replaced_ = false;
    time_point next_probe_;
    /// The requests that this instance forwards to upstreams or relays.
    boost::intrusive::
        list<request_state, boost::intrusive::constant_time_size<false>>
            operations_;
    /// The requests that wait for credits.
    boost::intrusive::
        list<request_state, boost::intrusive::constant_time_size<false>>
            quota_waits_;
};

} // namespace peridotward
