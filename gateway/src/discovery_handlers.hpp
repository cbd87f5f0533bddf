#pragma once

#include "instance_directory.hpp"

#include <peridotward/gateway/gateway.hpp>

namespace peridotward {

/// \brief Answers readiness checks.
class readiness_handler final : public http_handler
{
public:
    readiness_handler(const gateway& owner, const directory_codec& codec)
        : owner_{&owner}, codec_{&codec}
    {}

    void on_request(http_session& session) override
    {
        const std::string_view target{session.request().target};
        if (!codec_->is_readiness_path(target.substr(0, target.find('?'))))
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

/// \brief Answers directory requests with the instances that callers may use.
class directory_handler final : public http_handler
{
public:
    directory_handler(
        const directory_codec& codec,
        const instance_directory& instances,
        const gateway_settings& settings,
        counters& stats)
        : codec_{&codec},
          instances_{&instances},
          settings_{&settings},
          stats_{&stats}
    {}

    void on_request(http_session& session) override
    {
        const std::string_view target{session.request().target};
        if (!codec_->is_directory_path(target.substr(0, target.find('?')))) {
            session.respond(404, "text/plain", "unknown path");
            return;
        }
        stats_->count("directory_questions_total");
        const auto listed =
            instances_->select(codec_->caller_domain_in(target));
        if (listed.empty()) {
            session.respond(503, "text/plain", "no instance is ready");
            return;
        }
        session.respond(
            200,
            "application/json",
            codec_->encode_answer(listed, settings_->directory_ttl));
    }
    [[nodiscard]] caller_limits limits() const override { return {}; }

private:
    const directory_codec* codec_;
    const instance_directory* instances_;
    const gateway_settings* settings_;
    counters* stats_;
};

} // namespace peridotward
