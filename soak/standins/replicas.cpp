#include "replicas.hpp"

#include <peridotward/base/json.hpp>

namespace peridotward::soak {

using namespace testing;

namespace {

constexpr std::uint32_t slots = 4;
constexpr std::uint32_t queue = 8;
constexpr std::chrono::milliseconds shortest_work{2};
constexpr std::uint64_t work_spread_ms = 8;

std::string field(const standin_request& request, const char* name)
{
    const auto found = request.find(name);
    return found == request.end() ? "" : std::string{found->value()};
}

standin_response not_run(unsigned status)
{
    auto response = make_response(status, "");
    response.set("Peridotward-Not-Executed", "1");
    return response;
}

} // namespace

replicas::replicas(
    net::io_context& context, judge& seen, store& shared, std::uint64_t seed)
    : context_{&context}, seen_{&seen}, store_{&shared}, random_{seed}
{}

void replicas::add(replica_standin wanted)
{
    auto known = std::make_shared<replica_standin>(std::move(wanted));
    auto hooks = std::make_shared<listener_hooks>();
    hooks->on_request = [this, known](standin_request request, respond answer) {
        on_request(known, std::move(request), std::move(answer));
    };
    listen(*context_, known->host, known->port, hooks);
    publish(*known);
    all_.push_back(std::move(known));
}

void replicas::publish(const replica_standin& known, bool draining)
{
    const json entry{
        {"service", known.service},
        {"address", known.host + ":" + std::to_string(known.published_port)},
        {"zone", known.domain},
        {"version", "v1"},
        {"slots", slots},
        {"state", draining ? "draining" : "ready"},
        {"warmupLeftMs", 0},
        {"sequence", 1},
        {"born", known.born}};
    store_->put("servers/" + known.id, entry.dump());
}

void replicas::on_request(
    const std::shared_ptr<replica_standin>& at,
    standin_request request,
    respond answer)
{
    const auto id = field(request, "Peridotward-Request-Id");
    if (field(request, "Peridotward-Expect-Instance") != at->id) {
        answer(not_run(421), {});
        return;
    }
    if (random_.unit() < at->shed_share || at->running >= slots + queue) {
        answer(not_run(503), {});
        return;
    }
    ++at->running;
    seen_->run({id, at->service, at->id, at->domain, steady::now()});
    wire_fault fault;
    const double luck = random_.unit();
    if (luck < at->break_share) {
        fault.reset = random_.below(2) == 0;
        fault.cut_at = 0.6;
    }
    else if (luck < at->break_share + at->hang_share)
        fault.hang = true;
    const bool search = request.target().starts_with("/search/");
    auto response = make_response(200, "");
    response.set("Peridotward-Request-Id", id);
    response.set("Peridotward-Server-Stamp", id + "." + at->service);
    response.set(
        "Peridotward-Server-Load",
        std::to_string(at->running) + ",0," + std::to_string(slots));
    if (search) {
        for (const auto& record : judge::records_of(id, at->service))
            response.body() += record;
    }
    else
        response.body() = "answer to " + id;
    response.prepare_payload();
    const auto work =
        shortest_work + milliseconds{random_.below(work_spread_ms)};
    auto timer = std::make_shared<net::steady_timer>(*context_, work);
    timer->async_wait([timer,
                       at,
                       fault,
                       answer = std::move(answer),
                       response = std::move(response)](auto) mutable {
        --at->running;
        answer(std::move(response), fault);
    });
}

} // namespace peridotward::soak
