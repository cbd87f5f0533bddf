#include "fetch.hpp"

#include <optional>

namespace peridotward::ctl {

result<client_response> exchange_once(client_request request)
{
    constexpr milliseconds poll_wait{50};
    const auto address = request.to.text();
    std::optional<client_response> ended;
    http_client client;
    client.submit(std::move(request), [&](client_response response) {
        ended = std::move(response);
    });
    while (!ended)
        client.poll(poll_wait);
    if (ended->outcome != transport_outcome::answered)
        return fail(error_kind::io_failed, address + " does not answer");
    return std::move(*ended);
}

} // namespace peridotward::ctl
