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
    const auto at = target.find(key + "=");
    return at == std::string::npos
               ? 0
               : std::stoull(target.substr(at + key.size() + 1));
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
    changed();
}

void store::remove(const std::string& key)
{
    items_[key] = {"", ++revision_, true};
    changed();
}

std::string store::listing() const
{
    auto items = json::array();
    for (const auto& [key, known] : items_) {
        if (!known.removed)
            items.push_back(
                {{"key", key},
                 {"value", base64(known.value)},
                 {"revision", known.revision}});
    }
    return json{
        {"items", items}, {"hasMore", false}, {"storeRevision", revision_}}
        .dump();
}

std::string store::events_after(std::uint64_t revision) const
{
    std::map<std::uint64_t, json> events;
    for (const auto& [key, known] : items_) {
        if (known.revision <= revision)
            continue;
        if (known.removed)
            events[known.revision] = {
                {"key", key}, {"revision", known.revision}, {"removed", true}};
        else
            events[known.revision] = {
                {"key", key},
                {"value", base64(known.value)},
                {"revision", known.revision}};
    }
    auto list = json::array();
    for (auto& [at, event] : events)
        list.push_back(std::move(event));
    return json{{"events", list}, {"storeRevision", revision_}}.dump();
}

void store::changed()
{
    auto waiting = std::exchange(watches_, {});
    for (auto& entry : waiting) {
        entry.timer->cancel();
        entry.answer(make_response(200, events_after(entry.after)), {});
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
    if (after < oldest_) {
        answer(make_response(410, "history is gone"), {});
        return;
    }
    if (after < revision_) {
        answer(make_response(200, events_after(after)), {});
        return;
    }
    auto timer = std::make_shared<net::steady_timer>(
        *context_, std::chrono::milliseconds{number_in(target, "waitMs")});
    const auto entry =
        watches_.insert(watches_.end(), {after, std::move(answer), timer});
    timer->async_wait([this, entry](boost::system::error_code code) {
        if (code)
            return;
        entry->answer(make_response(200, events_after(entry->after)), {});
        watches_.erase(entry);
    });
}

} // namespace peridotward::soak
