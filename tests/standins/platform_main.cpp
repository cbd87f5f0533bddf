#include "platform_standin.hpp"

#include <peridotward/base/endpoint.hpp>

#include <iostream>

/// usage: standin_platform ADDRESS
int main(int argc, char** argv)
{
    using namespace peridotward;
    using namespace peridotward::testing;
    const auto address = parse_endpoint(argc == 2 ? argv[1] : "");
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
