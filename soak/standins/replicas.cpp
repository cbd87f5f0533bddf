#include "replicas.hpp"

#include <peridotward/base/json.hpp>

#include <array>
#include <string_view>

namespace peridotward::soak {

using namespace testing;

namespace {

constexpr std::uint32_t queue_size = 8;
constexpr std::chrono::milliseconds min_service_time{2};
constexpr std::uint64_t service_time_spread_ms = 8;

/// How a replica answers that has run the request.
struct odd_answer
{
    std::string_view interim;
    std::string_view status_line; ///< Empty for that of the usual answer.
};

constexpr std::array<odd_answer, 11> odd_answers{{
    {"", "HTTP/1.1 503 Service Unavailable"},
    {"", "HTTP/1.1 429 Too Many Requests"},
    {"", "HTTP/1.1 408 Request Timeout"},
    {"", "HTTP/1.1 000 Unknown"},
    {"", "HTTP/1.1 101 Switching Protocols"},
    {"", "HTTP/1.1 103 Early Hints"},
    {"", "HTTP/1.1 600 Unknown"},
    {"HTTP/1.1 000 Unknown\r\n\r\n", ""},
    {"HTTP/1.1 100 Continue\r\n\r\n", ""},
    {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", ""},
    {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 503 Service Unavailable"},
}};

std::string header_value(const standin_request& request, const char* name)
{
    const auto found = request.find(name);
    return found == request.end() ? "" : std::string{found->value()};
}

/// \returns The time that the target of a request asks for.
std::chrono::milliseconds work_of(const std::string& target)
{
    const auto at = target.find(work_mark);
    return std::chrono::milliseconds{
        at == std::string::npos
            ? 0
            : std::atoi(target.c_str() + at + work_mark.size())};
}

standin_response make_not_executed(unsigned status, const std::string& id)
{
    auto response = make_response(status, "");
    response.set("Peridotward-Request-Id", id);
    response.set("Peridotward-Not-Executed", "1");
    return response;
}

} // namespace

replicas::replicas(
    net::io_context& context,
    invariant_checker& checker,
    store& shared,
    std::uint64_t seed)
    : context_{&context},
      checker_{&checker},
      store_{&shared},
      random_{seed},
      status_random_{seed + 1}
{}

void replicas::add(replica_standin replica)
{
    auto added = std::make_shared<replica_standin>(std::move(replica));
    listen_for(added);
    publish(*added);
    all_.push_back(std::move(added));
}

void replicas::add_foreign(replica_standin server)
{
    server.foreign = true;
    listen_for(std::make_shared<replica_standin>(std::move(server)));
}

void replicas::add_odd_status(wire_fault& fault)
{
    if (odd_status_share <= 0 || status_random_.unit() >= odd_status_share)
        return;
    const auto& chosen = odd_answers[status_random_.below(odd_answers.size())];
    fault.status_line = chosen.status_line;
    fault.interim = chosen.interim;
}

respond replicas::with_late_copies(respond answer)
{
    if (late_copy_share <= 0)
        return answer;
    return [this, answer = std::move(answer)](
               standin_response response, wire_fault fault) {
        fault.copy_late = fault.cut_at >= 1.0 && !fault.hang && !fault.reset &&
                          random_.unit() < late_copy_share;
        answer(std::move(response), fault);
    };
}

void replicas::listen_for(const std::shared_ptr<replica_standin>& added)
{
    auto hooks = std::make_shared<listener_hooks>();
    hooks->on_connect = [added] {
        const bool accepted = added->max_connections == 0 ||
                              added->connections < added->max_connections;
        added->connections += accepted ? 1 : 0;
        return accepted;
    };
    hooks->on_disconnect = [added] { --added->connections; };
    hooks->on_request = [this, added](standin_request request, respond answer) {
        on_request(
            added, std::move(request), with_late_copies(std::move(answer)));
    };
    listen(*context_, added->host, added->port, hooks);
}

void replicas::publish(const replica_standin& replica, bool draining)
{
    const json record{
        {"service", replica.service},
        {"address",
         replica.host + ":" + std::to_string(replica.published_port)},
        {"zone", replica.domain},
        {"version", "v1"},
        {"slots", replica.slots},
        {"state", draining ? "draining" : "ready"},
        {"warmupLeftMs", 0},
        {"sequence", 1},
        {"born", replica.start_id}};
    store_->put("servers/" + replica.id, record.dump());
}

void replicas::on_request(
    const std::shared_ptr<replica_standin>& replica,
    standin_request request,
    respond answer)
{
    const auto id = header_value(request, "Peridotward-Request-Id");
    if (header_value(request, "Peridotward-Expect-Instance") != replica->id) {
        answer(make_not_executed(421, id), {});
        return;
    }
    checker_->record_arrival({id, replica->start_name(), steady::now()});
    if (request.target().find("/crash-") != std::string::npos) {
        checker_->record_execution(
            {id,
             replica->service,
             replica->id,
             replica->domain,
             steady::now()});
        if (!std::exchange(replica->crashing, true))
            on_crash(replica);
        answer({}, {.hang = true});
        return;
    }
    const bool turned_away = replica->pause > milliseconds{};
    if (turned_away || random_.unit() < replica->shed_share ||
        replica->running >= replica->slots + queue_size) {
        auto refusal = make_not_executed(503, id);
        if (turned_away) {
            refusal.set(
                "Retry-After",
                std::to_string(
                    std::chrono::duration<double>{replica->pause}.count()));
            checker_->record_notice(
                {id,
                 replica->service,
                 replica->start_name(),
                 steady::now(),
                 replica->pause});
        }
        if (replica->rate_limit > 0)
            refusal.set("Server-Limit", std::to_string(replica->rate_limit));
        if (replica->leaving)
            refusal.set("Server-Leaving", "1");
        answer(std::move(refusal), {});
        return;
    }
    ++replica->running;
    checker_->record_execution(
        {id, replica->service, replica->id, replica->domain, steady::now()});
    wire_fault fault;
    fault.endless = replica->endless;
    const double draw = random_.unit();
    if (draw < replica->break_share) {
        fault.reset = random_.below(2) == 0;
        fault.cut_at = 0.6;
    }
    else if (draw < replica->break_share + replica->hang_share)
        fault.hang = true;
    add_odd_status(fault);
    const bool search = request.target().starts_with("/search/");
    auto response = make_response(200, "");
    if (replica->leaving) {
        response.set("Server-Leaving", "1");
        checker_->record_notice(
            {id, replica->service, replica->start_name(), steady::now(), {}});
    }
    if (replica->rate_limit > 0) {
        response.set("Server-Limit", std::to_string(replica->rate_limit));
        checker_->record_rate_limit(
            {id, replica->start_name(), steady::now(), replica->rate_limit});
    }
    response.set("Peridotward-Request-Id", id);
    response.set("Peridotward-Server-Stamp", id + "." + replica->service);
    response.set(
        "Peridotward-Server-Load",
        std::to_string(replica->running) + ",0," +
            std::to_string(replica->slots));
    if (search) {
        for (const auto& record :
             invariant_checker::records_of(id, replica->service))
            response.body() += record;
    }
    else
        response.body() = invariant_checker::body_of(
            id, invariant_checker::answer_bytes(std::string{request.target()}));
    response.prepare_payload();
    const auto service_time =
        min_service_time + milliseconds{random_.below(service_time_spread_ms)} +
        work_of(std::string{request.target()});
    auto timer = std::make_shared<net::steady_timer>(*context_, service_time);
    timer->async_wait([timer,
                       replica,
                       fault,
                       answer = std::move(answer),
                       response = std::move(response)](auto) mutable {
        --replica->running;
        answer(std::move(response), fault);
    });
}

} // namespace peridotward::soak
