// The platform's metadata store, as PROTOCOL.md describes its reading calls.
#pragma once

#include "net.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <map>

namespace review {

using nlohmann::json;

inline std::string to_base64(const std::string& bytes)
{
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
        "abcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group =
                group << 8U |
                (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                      : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63U]
                                          : '=';
    }
    return text;
}

/// The value of a parameter in the query of `target`, percent-decoded.
inline std::string query_value(const std::string& target, std::string_view key)
{
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto end = target.find('&', at + 1);
        const auto pair = target.substr(at + 1, end - at - 1);
        if (pair.starts_with(std::string{key} + "=")) {
            std::string value;
            for (auto i = key.size() + 1; i < pair.size(); ++i) {
                if (pair[i] == '%' && i + 2 < pair.size()) {
                    value += static_cast<char>(
                        std::stoi(pair.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                }
                else
                    value += pair[i];
            }
            return value;
        }
        at = end;
    }
    return "";
}

class store
{
public:
    explicit store(const address& at)
        : server_{at, [this](stream& connection) { serve(connection); }}
    {}

    ~store()
    {
        const std::lock_guard lock{mutex_};
        stopped_ = true;
        changed_.notify_all();
    }

    void put(const std::string& key, const json& value)
    {
        const std::lock_guard lock{mutex_};
        ++revision_;
        auto& item = items_[key];
        const auto created =
            item.is_null() ? json(revision_) : item.at("created");
        item = {
            {"key", key},
            {"value", to_base64(value.dump())},
            {"revision", revision_},
            {"created", created},
            {"lease", 0}};
        events_.push_back(item);
        changed_.notify_all();
    }

    void remove(const std::string& key)
    {
        const std::lock_guard lock{mutex_};
        items_.erase(key);
        events_.push_back(
            {{"key", key}, {"revision", ++revision_}, {"removed", true}});
        changed_.notify_all();
    }

private:
    static constexpr std::size_t page_items = 50;

    void serve(stream& connection)
    {
        while (const auto request =
                   connection.read(steady::now() + std::chrono::hours{1})) {
            const auto target = request->target();
            auto answer = make_answer("404 Not Found");
            if (target.starts_with("/kv-range"))
                answer = list(query_value(target, "after"));
            else if (target.starts_with("/kv-watch"))
                answer = watch(
                    std::stoull(query_value(target, "after")),
                    milliseconds{std::stoull(query_value(target, "waitMs"))});
            answer.fields.emplace_back("Content-Type", "application/json");
            if (!connection.write(answer.text()))
                return;
        }
    }

    message list(const std::string& after)
    {
        const std::lock_guard lock{mutex_};
        auto page = json::array();
        auto at = items_.upper_bound(after);
        for (; at != items_.end() && page.size() < page_items; ++at)
            page.push_back(at->second);
        return make_answer(
            "200 OK",
            json{
                {"items", page},
                {"hasMore", at != items_.end()},
                {"storeRevision", revision_}}
                .dump());
    }

    message watch(std::uint64_t after, milliseconds wait)
    {
        std::unique_lock lock{mutex_};
        changed_.wait_for(
            lock, wait, [&] { return stopped_ || revision_ > after; });
        auto events = json::array();
        for (const auto& event : events_) {
            if (event.at("revision").get<std::uint64_t>() > after)
                events.push_back(event);
        }
        return make_answer(
            "200 OK",
            json{{"events", events}, {"storeRevision", revision_}}.dump());
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, json> items_;
    std::vector<json> events_;
    std::uint64_t revision_ = 100;
    bool stopped_ = false;
    server server_;
};

} // namespace review
