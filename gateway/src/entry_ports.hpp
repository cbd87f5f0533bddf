#pragma once

#include "entry_directory.hpp"

#include <peridotward/gateway/gateway.hpp>

namespace peridotward {

/// Answers "is this instance ready".
class ready_port final : public http_handler
{
public:
    ready_port(const gateway& owner, const directory_codec& codec)
        : owner_{&owner}, codec_{&codec}
    {}

    void on_request(http_session& session) override
    {
        const std::string_view target{session.request().target};
        if (!codec_->asks_ready(target.substr(0, target.find('?'))))
            session.respond(404, "text/plain", "unknown path");
        else if (owner_->ready())
            session.respond(200, "text/plain", "ready");
        else
            session.respond(503, "text/plain", "not ready");
    }
    [[nodiscard]] caller_limits limits() const override { return {}; }

private:
    const gateway* owner_;
    const directory_codec* codec_;
};

/// Answers which instances callers may use.
class directory_port final : public http_handler
{
public:
    directory_port(
        const directory_codec& codec,
        const entry_directory& entries,
        const gateway_settings& settings,
        counters& numbers)
        : codec_{&codec},
          entries_{&entries},
          settings_{&settings},
          numbers_{&numbers}
    {}

    void on_request(http_session& session) override
    {
        const std::string_view target{session.request().target};
        if (!codec_->asks(target.substr(0, target.find('?')))) {
            session.respond(404, "text/plain", "unknown path");
            return;
        }
        numbers_->count("directory_questions_total");
        const auto named = entries_->named(codec_->domain_in(target));
        if (named.empty()) {
            session.respond(503, "text/plain", "no instance is ready");
            return;
        }
        session.respond(
            200,
            "application/json",
            codec_->answer(named, settings_->directory_ttl));
    }
    [[nodiscard]] caller_limits limits() const override { return {}; }

private:
    const directory_codec* codec_;
    const entry_directory* entries_;
    const gateway_settings* settings_;
    counters* numbers_;
};

} // namespace peridotward
