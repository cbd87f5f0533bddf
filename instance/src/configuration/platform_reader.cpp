#include "configuration/platform_reader.hpp"
#include "log.hpp"

namespace peridotward {

namespace {

constexpr seconds read_timeout{2};
constexpr std::uint16_t http_ok = 200;

bool is_complete(const client_response& response)
{
    return response.outcome == transport_outcome::answered &&
           response.status == http_ok;
}

} // namespace

void platform_reader::start()
{
    config_.start();
    read_list();
}

void platform_reader::read_list()
{
    client_request request;
    request.to = state_->configured.platform.instance_list;
    request.path = "/v1/instances";
    request.timeout = read_timeout;
    state_->loop.client().submit(
        request, [this](const client_response& response) {
            if (is_complete(response))
                accept_list(response.body);
            else
                state_->metrics.increment("instance_list_call_failures");
            state_->loop.schedule_after(
                state_->configured.platform.poll_interval,
                [this] { read_list(); });
        });
}

void platform_reader::accept_list(const std::string& body)
{
    auto parsed = parse_instance_list(body);
    if (!parsed) {
        log_event(
            log_level::error,
            "instance_list_refused",
            {{"reason", parsed.error().message}});
        return;
    }
    if (parsed->version >= state_->published_list.version)
        state_->published_list = std::move(*parsed);
}

} // namespace peridotward
