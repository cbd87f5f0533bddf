#include "fetch_response.hpp"

#include <optional>

namespace peridotward::ctl {

result<client_response> fetch_response(client_request request)
{
    constexpr milliseconds max_poll_wait{50};
    const auto address = request.to.text();
    std::optional<client_response> received;
    http_client client;
    client.submit(std::move(request), [&](client_response response) {
        received = std::move(response);
    });
    while (!received)
        client.poll(max_poll_wait);
    if (received->outcome != transport_outcome::answered)
        return fail(error_kind::io_failed, address + ": no HTTP response");
    return std::move(*received);
}

} // namespace peridotward::ctl
