#include "upstream_standin.hpp"

#include <peridotward/config/settings.hpp>

#include <iostream>

namespace {

using namespace peridotward;
using namespace peridotward::testing;

/// All upstreams of one bundle, and the listener that controls them.
class upstream_park
{
public:
    upstream_park(net::io_context& context, bundle_ptr defined)
        : records_{
              defined->deployment,
              record_seed,
              defined->maps.front().key_space,
              record_count}
    {
        for (std::uint32_t i = 0; i < defined->upstreams.size(); ++i) {
            upstreams_.push_back(std::make_unique<upstream_standin>(
                context, defined, upstream_index{i}, records_, i + 1));
            upstreams_.back()->start();
        }
        defined_ = std::move(defined);
    }

    void on_control(const standin_request& request, const respond& answer)
    {
        try {
            if (request.target() == "/ledger")
                answer(make_response(200, ledger().dump()), {});
            else
                change(json::parse(request.body()), answer);
        }
        catch (const std::exception& problem) {
            answer(make_response(400, problem.what()), {});
        }
    }

private:
    static constexpr std::uint64_t record_seed = 1;
    static constexpr std::size_t record_count = 250'000;

    /// Body: {"match": TEXT, "set": {...}}; an upstream matches by id,
    /// service, domain or "*".
    void change(const json& order, const respond& answer)
    {
        const auto match = order.at("match").get<std::string>();
        int changed = 0;
        for (auto& upstream : upstreams_) {
            const auto& definition = upstream->definition();
            const auto& domain =
                defined_->domains[definition.domain.position()].id;
            const bool wanted = match == "*" || match == definition.id ||
                                match == domain ||
                                match == defined_->at(definition.service).id;
            if (!wanted)
                continue;
            upstream->change(order.at("set"));
            ++changed;
        }
        answer(make_response(200, json{{"changed", changed}}.dump()), {});
    }

    [[nodiscard]] json ledger() const
    {
        json entries = json::array();
        for (const auto& upstream : upstreams_)
            entries.push_back(upstream->ledger());
        return entries;
    }

    record_set records_;
    bundle_ptr defined_;
    std::vector<std::unique_ptr<upstream_standin>> upstreams_;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::cerr << "usage: standin_upstreams BUNDLE CONTROL_ADDRESS\n";
        return 2;
    }
    const auto text = read_file(argv[1]);
    const auto defined = text.and_then(
        [](const std::string& contents) { return parse_bundle(contents); });
    const auto control = parse_endpoint(argv[2]);
    if (!defined || !control) {
        std::cerr << "standin_upstreams: "
                  << (defined ? control.error() : defined.error()).message
                  << "\n";
        return 3;
    }
    net::io_context context{1};
    upstream_park park{context, *defined};
    auto hooks = std::make_shared<listener_hooks>();
    hooks->on_request = [&](const standin_request& request, respond answer) {
        park.on_control(request, answer);
    };
    listen(context, control->host, control->port, hooks);
    net::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&](auto, int) { context.stop(); });
    context.run();
}
