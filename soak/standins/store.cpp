#include "store.hpp"

#include <peridotward/base/json.hpp>

#include <boost/beast/core/detail/base64.hpp>

namespace peridotward::soak {

using namespace testing;

namespace {

std::string base64(const std::string& text)
{
    namespace coder = boost::beast::detail::base64;
    std::string out(coder::encoded_size(text.size()), '\0');
    out.resize(coder::encode(out.data(), text.data(), text.size()));
    return out;
}

std::uint64_t number_in(const std::string& target, const std::string& key)
{
    const auto position = target.find(key + "=");
    return position == std::string::npos
               ? 0
               : std::stoull(target.substr(position + key.size() + 1));
}

} // namespace

store::store(net::io_context& context, std::string host, std::uint16_t port)
    : context_{&context}
{
    auto hooks = std::make_shared<listener_hooks>();
    hooks->on_request = [this](standin_request request, respond answer) {
        on_request(std::move(request), std::move(answer));
    };
    listen(context, host, port, hooks);
}

void store::put(const std::string& key, const std::string& value)
{
    items_[key] = {value, ++revision_, false};
    answer_watches();
}

void store::remove(const std::string& key)
{
    items_[key] = {"", ++revision_, true};
    answer_watches();
}

std::string store::listing() const
{
    auto items = json::array();
    for (const auto& [key, stored] : items_) {
        if (!stored.removed)
            items.push_back(
                {{"key", key},
                 {"value", base64(stored.value)},
                 {"revision", stored.revision}});
    }
    return json{
        {"items", items}, {"hasMore", false}, {"storeRevision", revision_}}
        .dump();
}

std::string store::events_after(std::uint64_t revision) const
{
    std::map<std::uint64_t, json> events;
    for (const auto& [key, stored] : items_) {
        if (stored.revision <= revision)
            continue;
        if (stored.removed)
            events[stored.revision] = {
                {"key", key}, {"revision", stored.revision}, {"removed", true}};
        else
            events[stored.revision] = {
                {"key", key},
                {"value", base64(stored.value)},
                {"revision", stored.revision}};
    }
    auto list = json::array();
    for (auto& [event_revision, event] : events)
        list.push_back(std::move(event));
    return json{{"events", list}, {"storeRevision", revision_}}.dump();
}

void store::answer_watches()
{
    auto pending_watches = std::exchange(watches_, {});
    for (auto& pending : pending_watches) {
        pending.timer->cancel();
        pending.answer(make_response(200, events_after(pending.after)), {});
    }
}

void store::on_request(standin_request request, respond answer)
{
    const std::string target{request.target()};
    if (down_) {
        answer(make_response(503, "down"), {});
        return;
    }
    if (target.starts_with("/kv-range")) {
        answer(make_response(200, listing()), {});
        return;
    }
    const auto after = number_in(target, "after");
    if (after < oldest_revision_) {
        answer(make_response(410, "history is gone"), {});
        return;
    }
    if (after < revision_) {
        answer(make_response(200, events_after(after)), {});
        return;
    }
    auto timer = std::make_shared<net::steady_timer>(
        *context_, std::chrono::milliseconds{number_in(target, "waitMs")});
    const auto pending =
        watches_.insert(watches_.end(), {after, std::move(answer), timer});
    timer->async_wait([this, pending](boost::system::error_code code) {
        if (code)
            return;
        pending->answer(make_response(200, events_after(pending->after)), {});
        watches_.erase(pending);
    });
}

} // namespace peridotward::soak
