#pragma once

#include <peridotward/base/json.hpp>
#include <peridotward/gateway/gateway.hpp>

namespace peridotward {

/// Serves operators: state and metrics.
class control_port final : public http_handler
{
public:
    control_port(
        forwarder& forwarding,
        const peer_gossip& peers,
        const event_log& log,
        const counters& numbers,
        const reactor& loop)
        : forwarding_{&forwarding},
          peers_{&peers},
          log_{&log},
          numbers_{&numbers},
          loop_{&loop}
    {}

    void on_request(http_session& session) override
    {
        const auto& target = session.request().target;
        if (target == "/metrics")
            session.respond(200, "text/plain; version=0.0.4", metrics());
        else if (target == "/state")
            session.respond(200, "application/json", state().dump(1));
        else if (extension_ != nullptr)
            extension_->on_request(session);
        else
            session.respond(404, "text/plain", "unknown path");
    }
    void on_caller_left(http_session& session) override
    {
        if (extension_ != nullptr)
            extension_->on_caller_left(session);
    }
    [[nodiscard]] caller_limits limits() const override { return {}; }

    void extend(http_handler& handler) noexcept { extension_ = &handler; }

private:
    [[nodiscard]] std::string metrics() const;
    [[nodiscard]] json state() const;

    forwarder* forwarding_;
    const peer_gossip* peers_;
    const event_log* log_;
    const counters* numbers_;
    const reactor* loop_;
    http_handler* extension_ = nullptr;
};

} // namespace peridotward
