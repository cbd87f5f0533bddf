#pragma once

#include <peridotward/core/admission/return_plan.hpp>
#include <peridotward/core/gather/forwarded_request.hpp>
#include <peridotward/core/routing/weighted_turn.hpp>
#include <peridotward/gateway/counters.hpp>
#include <peridotward/gateway/event_log.hpp>
#include <peridotward/gateway/gateway_settings.hpp>
#include <peridotward/gateway/http_session.hpp>
#include <peridotward/gateway/protocol_names.hpp>
#include <peridotward/gateway/upstream_pool.hpp>

#include <string>
#include <unordered_map>

namespace peridotward {

class exchange;

/// \brief Answers callers' requests by forwarding them.
class forwarder final : public http_handler
{
public:
    /// A starting instance reads the configuration within this time.
    static constexpr milliseconds retry_after_start{250};

    forwarder(
        reactor& loop,
        event_log& log,
        counters& numbers,
        const gateway_settings& settings,
        const protocol_names& names,
        std::uint64_t seed);
    ~forwarder();

    void on_request(http_session& session) override;
    void on_caller_left(http_session& session) override;
    [[nodiscard]] caller_limits limits() const override;
    [[nodiscard]] bool closing() const override { return closing_; }

    /// \brief Puts a configuration in force, unless it is older.
    void apply(forward_config_ptr config);
    void fleet(fleet_view seen);

    /// \brief Takes over the bounds from the settings, which have changed.
    void settings_changed();
    void begin_closing() noexcept { closing_ = true; }

    /// \brief Periodic work: ends connections and replicas that are due.
    void check(time_point now);

    [[nodiscard]] const forward_config_ptr& config() const noexcept
    {
        return config_;
    }
    [[nodiscard]] upstream_catalog& catalog() noexcept { return catalog_; }
    [[nodiscard]] upstream_pool& pool() noexcept { return pool_; }
    [[nodiscard]] std::size_t open_requests() const noexcept { return open_; }

private:
    friend class exchange;

    void refuse(
        http_session& session,
        std::uint32_t status,
        std::string_view reason,
        milliseconds retry_after = {});
    [[nodiscard]] return_plan& returns_of(const forwarded_request& request);
    [[nodiscard]] forward_context context() noexcept
    {
        return {&catalog_, &choice_, &repeats_, &fleet_};
    }

    reactor* loop_;
    event_log* log_;
    counters* numbers_;
    const gateway_settings* settings_;
    const protocol_names* names_;
    random_source random_;
    upstream_catalog catalog_;
    replica_choice choice_;
    retry_ledger repeats_;
    fleet_view fleet_;
    upstream_pool pool_;
    forward_config_ptr config_;
    weighted_turn turns_;
    std::unordered_map<std::string, latency_profile> profiles_;
    std::unordered_map<std::string, request_deadlines> patience_;
    /// By the first service of a route: routes that share upstreams share it.
    std::unordered_map<std::string, return_plan> returns_;
    std::size_t open_ = 0;
    bool closing_ = false;
};

} // namespace peridotward
