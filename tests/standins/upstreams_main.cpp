#include "upstream_group.hpp"

#include <peridotward/config/settings.hpp>

#include <iostream>

/// usage: standin_upstreams BUNDLE CONTROL_ADDRESS
int main(int argc, char** argv)
{
    using namespace peridotward;
    using namespace peridotward::testing;
    if (argc != 3) {
        std::cerr << "usage: standin_upstreams BUNDLE CONTROL_ADDRESS\n";
        return 2;
    }
    const auto text = read_file(argv[1]);
    const auto parsed_bundle = text.and_then(
        [](const std::string& contents) { return parse_bundle(contents); });
    const auto control = parse_endpoint(argv[2]);
    if (!parsed_bundle || !control) {
        std::cerr
            << "standin_upstreams: "
            << (parsed_bundle ? control.error() : parsed_bundle.error()).message
            << "\n";
        return 3;
    }
    net::io_context context{1};
    upstream_group upstreams{context, *parsed_bundle};
    upstreams.start();
    auto hooks = std::make_shared<listener_hooks>();
    hooks->on_request = [&](const standin_request& request, respond answer) {
        upstreams.on_control(request, answer);
    };
    listen(context, control->host, control->port, hooks);
    net::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&](auto, int) { context.stop(); });
    context.run();
}
