#pragma once

#include <peridotward/base/json.hpp>
#include <peridotward/gateway/gateway.hpp>

namespace peridotward {

/// \brief Answers `/metrics` and `/state`, and passes other paths to an
/// extension.
class control_handler final : public http_handler
{
public:
    control_handler(
        forwarder& forwarding,
        const peer_gossip& peers,
        const event_log& log,
        const counters& stats,
        const reactor& loop)
        : forwarding_{&forwarding},
          peers_{&peers},
          log_{&log},
          stats_{&stats},
          loop_{&loop}
    {}

    void on_request(http_session& session) override
    {
        const auto& target = session.request().target;
        if (target == "/metrics")
            session.respond(200, "text/plain; version=0.0.4", render_metrics());
        else if (target == "/state")
            session.respond(200, "application/json", state().dump(1));
        else if (extension_ != nullptr)
            extension_->on_request(session);
        else
            session.respond(404, "text/plain", "unknown path");
    }
    void on_caller_disconnect(http_session& session) override
    {
        if (extension_ != nullptr)
            extension_->on_caller_disconnect(session);
    }
    [[nodiscard]] caller_limits limits() const override { return {}; }

    void extend(http_handler& handler) noexcept { extension_ = &handler; }

private:
    [[nodiscard]] std::string render_metrics() const;
    [[nodiscard]] json state() const;

    forwarder* forwarding_;
    const peer_gossip* peers_;
    const event_log* log_;
    const counters* stats_;
    const reactor* loop_;
    http_handler* extension_ = nullptr;
};

} // namespace peridotward
