#include "run_after.hpp"
#include "upstream_group.hpp"

#include <algorithm>
#include <stdexcept>

namespace peridotward::testing {

namespace {

constexpr std::uint64_t record_seed = 1;
constexpr std::size_t record_count = 250'000;

} // namespace

upstream_group::upstream_group(
    net::io_context& context, bundle_ptr current_bundle)
    : context_{&context},
      records_{
          current_bundle->deployment,
          record_seed,
          current_bundle->maps.front().key_space,
          record_count}
{
    shared_.records = &records_;
    shared_.current_bundle = std::move(current_bundle);
    shared_.journals.resize(shared_.current_bundle->services.size());
    for (const auto& domain : shared_.current_bundle->domains)
        shared_.domains.emplace_back(domain.max_in_flight);
    const auto count = shared_.current_bundle->upstreams.size();
    for (std::uint32_t i = 0; i < count; ++i)
        upstreams_.push_back(std::make_unique<upstream_standin>(
            context, shared_, upstream_index{i}, i + 1));
}

void upstream_group::start()
{
    for (auto& upstream : upstreams_)
        upstream->start();
}

void upstream_group::on_control(
    const standin_request& request, const respond& answer)
{
    try {
        answer(make_response(200, apply(request).dump()), {});
    }
    catch (const std::exception& error) {
        answer(make_response(400, std::string{error.what()} + "\n"), {});
    }
}

json upstream_group::apply(const standin_request& request)
{
    const std::string target{request.target()};
    if (target == "/ledger")
        return ledger();
    if (target == "/bundle") {
        replace_maps(request.body());
        return json::object();
    }
    const auto command = json::parse(request.body());
    if (target == "/ran")
        return check_ids(command);
    if (target == "/delays") {
        shared_.domain_delay_ms =
            command.value("domain_ms", shared_.domain_delay_ms);
        shared_.connect_cost =
            command.value("connect_cost", shared_.connect_cost);
        return json::object();
    }
    if (target != "/control")
        throw std::invalid_argument{"unknown path " + target};
    const auto changed = change_staggered(
        command.at("match").get<std::string>(),
        command.at("set"),
        command.value("stagger_ms", 0.0));
    return {{"changed", changed}};
}

std::vector<upstream_standin*>
upstream_group::matching(const std::string& match)
{
    std::vector<upstream_standin*> found;
    for (auto& upstream : upstreams_) {
        const auto& definition = upstream->definition();
        if (match == "*" || match == definition.id ||
            match == upstream->domain() ||
            match == shared_.current_bundle->at(definition.service).id)
            found.push_back(upstream.get());
    }
    return found;
}

std::size_t upstream_group::change(const std::string& match, const json& set)
{
    const auto found = matching(match);
    for (auto* upstream : found)
        upstream->change(set);
    return found.size();
}

std::size_t upstream_group::change_staggered(
    const std::string& match, const json& set, double stagger_ms)
{
    if (stagger_ms <= 0)
        return change(match, set);
    const auto found = matching(match);
    double delay_ms = 0;
    for (auto* upstream : found) {
        run_after(
            *context_, delay_ms, [upstream, set] { upstream->change(set); });
        delay_ms += stagger_ms;
    }
    return found.size();
}

bool upstream_group::has_run(const std::string& request) const
{
    return std::any_of(
        shared_.journals.begin(),
        shared_.journals.end(),
        [&](const service_journal& journal) {
            return journal.has_run(request);
        });
}

json upstream_group::check_ids(const json& report) const
{
    std::size_t refused_but_ran = 0;
    for (const auto& id : report.at("not_run_ids"))
        refused_but_ran += has_run(id.get<std::string>()) ? 1 : 0;
    std::size_t stored_but_missing = 0;
    for (const auto& id : report.at("stored_ids"))
        stored_but_missing += has_run(id.get<std::string>()) ? 0 : 1;
    return {
        {"refused_but_ran", refused_but_ran},
        {"stored_but_missing", stored_but_missing}};
}

void upstream_group::replace_maps(const std::string& text)
{
    const auto parsed = parse_bundle(text);
    if (!parsed)
        throw std::invalid_argument{parsed.error().message};
    const auto& next = **parsed;
    if (next.upstreams.size() != upstreams_.size() ||
        next.services.size() != shared_.journals.size())
        throw std::invalid_argument{
            "services and upstreams must stay the same"};
    shared_.current_bundle = *parsed;
}

json upstream_group::ledger() const
{
    const auto& current_bundle = *shared_.current_bundle;
    json report{
        {"upstreams", json::array()},
        {"services", json::object()},
        {"domains", json::object()}};
    for (const auto& upstream : upstreams_)
        report["upstreams"].push_back(upstream->ledger());
    for (std::size_t i = 0; i < shared_.journals.size(); ++i) {
        const auto& journal = shared_.journals[i];
        if (current_bundle.services[i].kind == service_kind::entries)
            report["services"][current_bundle.services[i].id] = {
                {"entries", journal.entries()},
                {"doubled_runs", journal.doubled_runs()}};
    }
    for (std::size_t i = 0; i < shared_.domains.size(); ++i)
        report["domains"][current_bundle.domains[i].id] =
            shared_.domains[i].to_json();
    return report;
}

} // namespace peridotward::testing
