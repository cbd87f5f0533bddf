#include "platform_standin.hpp"

#include <algorithm>

namespace peridotward::testing {

namespace {

constexpr std::chrono::seconds longest_watch{30};
constexpr std::string_view after_query = "?after=";

std::int64_t second_now()
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
    catch (const std::exception& problem) {
        answer(make_response(400, problem.what()), {});
    }
}

json platform_standin::control(const std::string& body)
{
    const auto order = json::parse(body);
    down_ = order.value("down", down_);
    stale_ = order.value("stale", stale_);
    older_ = order.value("older", older_);
    if (down_ || !stale_)
        release_waiting();
    return {{"down", down_}, {"stale", stale_}, {"older", older_}};
}

/// Ends all watches: with an answer, or with a reset while down.
void platform_standin::release_waiting()
{
    const auto released = std::move(waiting_);
    waiting_.clear();
    wire_fault fault;
    fault.reset = true;
    for (const auto& entry : released) {
        entry->done = true;
        entry->timer.cancel();
        if (down_)
            entry->answer(make_response(503, "down"), fault);
        else
            entry->answer(current(entry->path), {});
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
    entry.before = entry.version == 0 ? text : entry.text;
    entry.version_before = std::max<std::uint64_t>(1, entry.version);
    entry.text = text;
    ++entry.version;
    for (auto& waiting : waiting_) {
        if (waiting->path == path && !waiting->done && !stale_)
            finish(*waiting);
    }
    waiting_.remove_if([](const auto& waiting) { return waiting->done; });
}

void platform_standin::count(const standin_request& request, bool watching)
{
    const auto second = second_now();
    if (second != counted_second_) {
        max_calls_per_second_ =
            std::max(max_calls_per_second_, calls_this_second_);
        calls_this_second_ = 0;
        counted_second_ = second;
    }
    ++calls_this_second_;
    const std::string reader{request["instance-id"]};
    auto& counts = readers_[reader.empty() ? "unnamed" : reader];
    ++(watching ? counts.watches : counts.reads);
}

void platform_standin::read(
    const standin_request& request, const std::string& target, respond answer)
{
    const auto question = target.find(after_query);
    const bool watching = question != std::string::npos;
    const auto path = target.substr(0, question);
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
            std::stoull(target.substr(question + after_query.size()));
        const auto found = values_.find(path);
        if (stale_ || found == values_.end() ||
            found->second.version <= after) {
            wait(path, std::move(answer));
            return;
        }
    }
    answer(current(path), {});
}

void platform_standin::wait(const std::string& path, respond answer)
{
    auto entry = std::make_shared<watch>(*context_, path, std::move(answer));
    waiting_.push_back(entry);
    entry->timer.expires_after(longest_watch);
    entry->timer.async_wait([this, entry](boost::system::error_code code) {
        if (!code && !entry->done) {
            finish(*entry);
            waiting_.remove(entry);
        }
    });
}

void platform_standin::finish(watch& entry)
{
    entry.done = true;
    entry.timer.cancel();
    entry.answer(current(entry.path), {});
}

standin_response platform_standin::current(const std::string& path)
{
    const auto found = values_.find(path);
    if (found == values_.end())
        return make_response(404, "{}");
    const auto& entry = found->second;
    give_older_ = older_ && !give_older_;
    const bool before = stale_ || give_older_;
    auto response = make_response(200, before ? entry.before : entry.text);
    response.set(
        "value-version",
        std::to_string(before ? entry.version_before : entry.version));
    return response;
}

} // namespace peridotward::testing
