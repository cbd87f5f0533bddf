#include "platform_standin.hpp"

#include <algorithm>

namespace peridotward::testing {

namespace {

constexpr std::chrono::seconds max_watch_time{30};
constexpr std::string_view after_query = "?after=";

std::int64_t monotonic_second()
{
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

} // namespace

void platform_standin::on_request(
    const standin_request& request, respond answer)
{
    const std::string target{request.target()};
    try {
        if (target == "/control") {
            answer(make_response(200, control(request.body()).dump()), {});
        }
        else if (target == "/ledger") {
            answer(make_response(200, ledger().dump()), {});
        }
        else if (request.method() == beast_http::verb::put) {
            publish(target, request.body());
            answer(make_response(200, "{}"), {});
        }
        else {
            read(request, target, std::move(answer));
        }
    }
    catch (const std::exception& error) {
        answer(make_response(400, error.what()), {});
    }
}

json platform_standin::control(const std::string& body)
{
    const auto command = json::parse(body);
    down_ = command.value("down", down_);
    stale_ = command.value("stale", stale_);
    older_ = command.value("older", older_);
    if (down_ || !stale_)
        end_watches();
    return {{"down", down_}, {"stale", stale_}, {"older", older_}};
}

/// Ends all watches with a response, or with a connection reset while down.
void platform_standin::end_watches()
{
    const auto ended_watches = std::move(watches_);
    watches_.clear();
    wire_fault fault;
    fault.reset = true;
    for (const auto& entry : ended_watches) {
        entry->done = true;
        entry->timer.cancel();
        if (down_)
            entry->answer(make_response(503, "down"), fault);
        else
            entry->answer(current_response(entry->path), {});
    }
}

json platform_standin::ledger() const
{
    json report{
        {"reads", 0},
        {"watches", 0},
        {"refused", refused_},
        {"max_calls_per_second",
         std::max(max_calls_per_second_, calls_this_second_)},
        {"readers", json::object()}};
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    for (const auto& [name, counts] : readers_) {
        reads += counts.reads;
        watches += counts.watches;
        report["readers"][name] = {
            {"reads", counts.reads}, {"watches", counts.watches}};
    }
    report["reads"] = reads;
    report["watches"] = watches;
    return report;
}

void platform_standin::publish(const std::string& path, const std::string& text)
{
    auto& entry = values_[path];
    entry.previous_text = entry.version == 0 ? text : entry.text;
    entry.previous_version = std::max<std::uint64_t>(1, entry.version);
    entry.text = text;
    ++entry.version;
    for (auto& waiting : watches_) {
        if (waiting->path == path && !waiting->done && !stale_)
            finish(*waiting);
    }
    watches_.remove_if([](const auto& waiting) { return waiting->done; });
}

void platform_standin::count(const standin_request& request, bool watching)
{
    const auto second = monotonic_second();
    if (second != current_second_) {
        max_calls_per_second_ =
            std::max(max_calls_per_second_, calls_this_second_);
        calls_this_second_ = 0;
        current_second_ = second;
    }
    ++calls_this_second_;
    const std::string reader{request["instance-id"]};
    auto& counts = readers_[reader.empty() ? "unnamed" : reader];
    ++(watching ? counts.watches : counts.reads);
}

void platform_standin::read(
    const standin_request& request, const std::string& target, respond answer)
{
    const auto query_position = target.find(after_query);
    const bool watching = query_position != std::string::npos;
    const auto path = target.substr(0, query_position);
    count(request, watching);
    if (down_) {
        ++refused_;
        wire_fault fault;
        fault.reset = true;
        answer(make_response(503, "down"), fault);
        return;
    }
    if (watching) {
        const auto after =
            std::stoull(target.substr(query_position + after_query.size()));
        const auto found = values_.find(path);
        if (stale_ || found == values_.end() ||
            found->second.version <= after) {
            add_watch(path, std::move(answer));
            return;
        }
    }
    answer(current_response(path), {});
}

void platform_standin::add_watch(const std::string& path, respond answer)
{
    auto entry = std::make_shared<watch>(*context_, path, std::move(answer));
    watches_.push_back(entry);
    entry->timer.expires_after(max_watch_time);
    entry->timer.async_wait([this, entry](boost::system::error_code code) {
        if (!code && !entry->done) {
            finish(*entry);
            watches_.remove(entry);
        }
    });
}

void platform_standin::finish(watch& entry)
{
    entry.done = true;
    entry.timer.cancel();
    entry.answer(current_response(entry.path), {});
}

standin_response platform_standin::current_response(const std::string& path)
{
    const auto found = values_.find(path);
    if (found == values_.end())
        return make_response(404, "{}");
    const auto& entry = found->second;
    serve_previous_ = older_ && !serve_previous_;
    const bool serve_previous = stale_ || serve_previous_;
    auto response =
        make_response(200, serve_previous ? entry.previous_text : entry.text);
    response.set(
        "value-version",
        std::to_string(
            serve_previous ? entry.previous_version : entry.version));
    return response;
}

} // namespace peridotward::testing
