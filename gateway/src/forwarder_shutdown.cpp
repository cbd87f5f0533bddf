// The forwarder's part in an orderly shutdown.

#include <peridotward/gateway/forwarder.hpp>

#include <string>
#include <vector>

namespace peridotward {

namespace {

/// Time for which a caller may use the instances that a refusal names; that of
/// the directory's answers.
constexpr seconds alternatives_age{2};

/// \returns An Alt-Svc field (RFC 7838) with the addresses of `instances`.
std::string alternatives_field(const std::vector<instance_candidate>& instances)
{
    std::string field;
    for (const auto& instance : instances) {
        field += field.empty() ? "Alt-Svc: " : ", ";
        field += "http%2F1.1=\"" + instance.callers.text() +
                 "\"; ma=" + std::to_string(alternatives_age.count());
    }
    return field.empty() ? field : field + "\r\n";
}

} // namespace

void forwarder::begin_shutdown(const shutdown_schedule& schedule)
{
    shutdown_ = schedule;
    std::vector<boost::intrusive_ptr<request_state>> open;
    for (auto& each : operations_)
        open.emplace_back(&each);
    for (const auto& each : open)
        each->on_shutdown(schedule);
}

void forwarder::refuse_stopping(http_session& session)
{
    stats_->count("shutdown_refusals_total");
    // The instance that relayed the request may ask another one.
    if (session.request().fields.find(names_->relayed)) {
        refuse_unreachable(session, stopping, relayed_not_run);
        return;
    }
    const auto instances =
        alternatives ? alternatives() : std::vector<instance_candidate>{};
    // Other instances serve the request at once. Without one, the next start of
    // this instance does.
    const auto wait = instances.empty()
                          ? std::chrono::ceil<milliseconds>(
                                shutdown_->exit_by() - loop_->now()) +
                                retry_after_start
                          : milliseconds{};
    refuse(session, 503, stopping, wait, alternatives_field(instances));
}

} // namespace peridotward
