#include "configuration/config_dump.hpp"

namespace peridotward {

namespace {

json refusal_json(const config_refusal& refusal)
{
    return {
        {"kind", name_of(refusal.kind)},
        {"version", refusal.version},
        {"source", refusal.source},
        {"reason", refusal.message}};
}

json counters_json(const config_counters& counters)
{
    return {
        {"service_calls", counters.service_calls},
        {"service_failures", counters.service_failures},
        {"service_bytes", counters.service_bytes},
        {"peer_messages", counters.peer_messages},
        {"peer_bytes_sent", counters.peer_bytes_sent},
        {"accepted", counters.accepted},
        {"refused", counters.refused},
        {"older", counters.older},
        {"forked", counters.forked},
        {"pauses", counters.pauses}};
}

} // namespace

json dump_configuration(const instance_state& state)
{
    if (state.configuration == nullptr)
        return json::object();
    const auto& store = *state.configuration;
    const auto now = state.loop.now();
    json refusals = json::array();
    for (const auto& refusal : store.refusals())
        refusals.push_back(refusal_json(refusal));
    json section{
        {"settled", store.settled(now)},
        {"waiting_for", store.waiting_for(now)},
        {"watches", store.watches()},
        {"signatures_required", state.configured.sign_off.required},
        {"counters", counters_json(store.counters())},
        {"refusals", std::move(refusals)}};
    if (const auto& current = store.in_force()) {
        section["version"] = current->version;
        section["digest"] = current->digest;
        section["accepted_at_ms"] =
            state.accepted_at.time_since_epoch().count();
    }
    return section;
}

} // namespace peridotward
