#include "http_standin.hpp"

#include <peridotward/base/endpoint.hpp>
#include <peridotward/base/json.hpp>

#include <iostream>
#include <list>
#include <map>

namespace {

using namespace peridotward;
using namespace peridotward::testing;

constexpr std::chrono::seconds longest_watch{30};

/// The configuration service and the instance list.
///
/// GET /v1/values/NAME[?after=VERSION] reads, or waits for a newer version;
/// GET /v1/instances reads the list. PUT on the same paths publishes, and
/// POST /control sets {"down": bool, "stale": bool}; GET /ledger counts.
class platform_standin
{
public:
    explicit platform_standin(net::io_context& context) : context_{&context} {}

    void on_request(const standin_request& request, respond answer)
    {
        const std::string target{request.target()};
        if (target == "/control")
            control(json::parse(request.body()), answer);
        else if (target == "/ledger")
            answer(make_response(200, ledger().dump()), {});
        else if (request.method() == beast_http::verb::put)
            publish(target, request.body(), answer);
        else
            read(target, std::move(answer));
    }

private:
    struct value
    {
        std::uint64_t version = 0;
        std::string text;
        std::string before; ///< Served while the service is stale.
    };

    struct watch
    {
        watch(net::io_context& context, std::string name, respond reply)
            : path{std::move(name)}, answer{std::move(reply)}, timer{context}
        {}
        std::string path;
        respond answer;
        net::steady_timer timer;
        bool done = false;
    };

    void control(const json& order, const respond& answer)
    {
        down_ = order.value("down", down_);
        stale_ = order.value("stale", stale_);
        answer(make_response(200, "{}"), {});
    }

    [[nodiscard]] json ledger() const
    {
        return {{"reads", reads_}, {"watches", watches_}};
    }

    void
    publish(const std::string& path, const std::string& text, respond answer)
    {
        auto& entry = values_[path];
        entry.before = entry.version == 0 ? text : entry.text;
        entry.text = text;
        ++entry.version;
        answer(make_response(200, "{}"), {});
        for (auto& waiting : waiting_) {
            if (waiting->path == path && !waiting->done)
                finish(*waiting);
        }
        waiting_.remove_if([](const auto& entry) { return entry->done; });
    }

    void read(const std::string& target, respond answer)
    {
        const auto question = target.find("?after=");
        const auto path = target.substr(0, question);
        ++(question == std::string::npos ? reads_ : watches_);
        if (down_) {
            answer(make_response(503, "down"), {0.0, true, false});
            return;
        }
        const auto found = values_.find(path);
        if (question != std::string::npos) {
            const auto after = std::stoull(target.substr(question + 7));
            if (found == values_.end() || found->second.version <= after) {
                wait(path, std::move(answer));
                return;
            }
        }
        answer(current(path), {});
    }

    void wait(const std::string& path, respond answer)
    {
        auto entry =
            std::make_shared<watch>(*context_, path, std::move(answer));
        waiting_.push_back(entry);
        entry->timer.expires_after(longest_watch);
        entry->timer.async_wait([this, entry](boost::system::error_code code) {
            if (!code && !entry->done) {
                finish(*entry);
                waiting_.remove(entry);
            }
        });
    }

    void finish(watch& entry)
    {
        entry.done = true;
        entry.timer.cancel();
        entry.answer(current(entry.path), {});
    }

    [[nodiscard]] standin_response current(const std::string& path) const
    {
        const auto found = values_.find(path);
        if (found == values_.end())
            return make_response(404, "{}");
        const auto& entry = found->second;
        auto response = make_response(200, stale_ ? entry.before : entry.text);
        response.set("value-version", std::to_string(entry.version));
        return response;
    }

    net::io_context* context_;
    std::map<std::string, value> values_;
    std::list<std::shared_ptr<watch>> waiting_;
    std::uint64_t reads_ = 0;
    std::uint64_t watches_ = 0;
    bool down_ = false;
    bool stale_ = false;
};

} // namespace

int main(int argc, char** argv)
{
    const auto address = parse_endpoint(argc == 2 ? argv[1] : "usage: ADDRESS");
    if (!address) {
        std::cerr << "usage: standin_platform ADDRESS\n";
        return 2;
    }
    net::io_context context{1};
    platform_standin platform{context};
    auto hooks = std::make_shared<listener_hooks>();
    hooks->on_request = [&](const standin_request& request, respond answer) {
        platform.on_request(request, std::move(answer));
    };
    listen(context, address->host, address->port, hooks);
    net::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&](auto, int) { context.stop(); });
    context.run();
}
