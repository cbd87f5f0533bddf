// A client sends its next request while it still receives the answer to the
// one before, as HTTP/1.1 allows, and leaves before it has the answers. Other
// clients send one request at a time, each on a connection of its own, and
// check that the answer is theirs.

#include "standin/deployment.hpp"

namespace {

using namespace review;

constexpr int gateways = 3;
constexpr int replicas = 3;
constexpr int slots = 6;
constexpr int clients = 30;
/// `give_up`: a share of the clients leaves within half of the objective of
/// 400 ms, for some seconds.
constexpr int leaving_clients = 6;
constexpr milliseconds patience{150};
constexpr std::chrono::seconds lead_time{4};
constexpr std::chrono::seconds trouble_time{5};
constexpr std::chrono::seconds quiet_time{4};
constexpr std::size_t photo_bytes = 256U << 10U;
/// Segments and receive buffer of a client on an ordinary network.
constexpr int segment_bytes = 1448;
constexpr int receive_buffer_bytes = 16384;

struct ledger
{
    explicit ledger(const std::string& path) : record{path} {}

    recorder record;
    std::atomic<int> served = 0;
    std::atomic<int> foreign = 0;
    std::atomic<int> unanswered = 0;
    std::atomic<int> left = 0;
    std::atomic<bool> trouble = false;
};

/// A replica that answers with the id of the request in its body.
class replica
{
public:
    replica(ledger& seen, std::string id, const address& at)
        : seen_{&seen},
          id_{std::move(id)},
          server_{at, [this](stream& connection) { serve(connection); }}
    {}

private:
    void serve(stream& connection)
    {
        while (const auto request =
                   connection.read(steady::now() + std::chrono::hours{1})) {
            const auto request_id = request->field("Peridotward-Request-Id");
            if (request->field("Peridotward-Expect-Instance") != id_) {
                auto refusal = make_answer("421 Misdirected Request");
                refusal.fields.emplace_back("Peridotward-Not-Executed", "1");
                connection.write(refusal.text());
                continue;
            }
            ++running_;
            seen_->record.write(id_ + " runs " + request_id);
            const bool photo = request->target().starts_with("/photo/");
            std::this_thread::sleep_for(
                photo ? milliseconds{20}
                      : milliseconds{150 + std::rand() % 250});
            auto answer = make_answer(
                "200 OK",
                photo ? std::string(photo_bytes, 'p')
                      : "record of " + request_id);
            answer.fields.emplace_back("Peridotward-Request-Id", request_id);
            answer.fields.emplace_back(
                "Peridotward-Server-Stamp", request_id + "." + id_);
            answer.fields.emplace_back(
                "Peridotward-Server-Load",
                std::to_string(running_) + ",0," + std::to_string(slots));
            --running_;
            if (!connection.write(answer.text()))
                return;
        }
    }

    ledger* seen_;
    std::string id_;
    std::atomic<int> running_ = 0;
    server server_;
};

message make_request(const std::string& path, const std::string& id)
{
    return {
        "GET " + path + id + " HTTP/1.1",
        {{"Host", "registry.example"},
         {"Peridotward-Request-Id", id},
         {"Peridotward-Deadline-Ms", "2000"}},
        ""};
}

/// Checks that an answer belongs to the request `id`.
void check(
    ledger& seen, const std::string& id, const std::optional<message>& answer)
{
    if (!answer) {
        ++seen.unanswered;
        seen.record.write("client gets no answer for " + id);
        return;
    }
    seen.record.write(
        "client gets " + std::to_string(answer->status()) + " for " + id);
    if (answer->status() != 200)
        return;
    if (answer->field("Peridotward-Request-Id") == id) {
        ++seen.served;
        return;
    }
    ++seen.foreign;
    seen.record.write(
        "MIXED: " + id + " gets the answer of " +
        answer->field("Peridotward-Request-Id") + ", body \"" +
        answer->body.substr(0, 40) + "\"");
}

void send_one(ledger& seen, const address& gateway, const std::string& id)
{
    const auto connection = connect_to(gateway);
    if (!connection)
        return;
    connection->write(make_request("/licence/", id).text());
    check(seen, id, connection->read(steady::now() + milliseconds{2200}));
}

/// Sends a second request during the answer to the first one; in trouble the
/// client leaves then.
void send_two(ledger& seen, const address& gateway, const std::string& id)
{
    const auto connection =
        connect_to(gateway, segment_bytes, receive_buffer_bytes);
    if (!connection)
        return;
    const bool leaves = seen.trouble;
    connection->write(make_request("/photo/", id + "a").text());
    if (!connection->readable_within(milliseconds{1500}))
        return;
    connection->write(make_request("/licence/", id + "b").text());
    if (leaves) {
        std::this_thread::sleep_for(patience);
        ++seen.left;
        seen.record.write("client leaves, " + id + "b is open");
        return;
    }
    for (const auto* suffix : {"a", "b"}) {
        const auto answer =
            connection->read(steady::now() + milliseconds{2200});
        check(seen, id + suffix, answer);
    }
}

int play(const std::string& record_path)
{
    deployment system;
    ledger seen{record_path};
    const char* const zones[] = {"akl", "wlg", "chc"};
    std::vector<std::unique_ptr<replica>> desk;
    for (int i = 0; i < replicas; ++i) {
        const auto at = system.plan.at(100 + i);
        const auto id = "i-desk" + std::to_string(i);
        desk.push_back(std::make_unique<replica>(seen, id, at));
        system.kv->put(
            "servers/" + id,
            replica_entry("district-desk", at, zones[i], slots));
    }
    auto routes = json::array();
    for (const std::string name : {"photo", "licence"})
        routes.push_back(
            {{"name", name},
             {"host", "registry.example"},
             {"prefix", "/" + name + "/"},
             {"service", "district-desk"},
             {"kind", "safe"},
             {"timeoutMs", 2000},
             {"targetLatencyMs", 400},
             {"priority", 2},
             {"maxAttempts", 2}});
    system.kv->put(
        "op/config",
        config_entry(
            7, routes, json::array({service_entry("district-desk", 51)})));
    system.start_gateways(gateways);
    std::this_thread::sleep_for(std::chrono::seconds{1});

    std::atomic<bool> stopped = false;
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client)
        threads.emplace_back([&, client] {
            const auto gateway = system.gateways[client % gateways]->front();
            for (int i = 0; !stopped; ++i) {
                const auto id =
                    "c" + std::to_string(client) + "-" + std::to_string(i);
                if (client < leaving_clients)
                    send_two(seen, gateway, id);
                else
                    send_one(seen, gateway, id);
                std::this_thread::sleep_for(
                    milliseconds{200 + std::rand() % 600});
            }
        });
    std::this_thread::sleep_for(lead_time);
    seen.trouble = with_trouble();
    seen.record.write(seen.trouble ? "trouble begins" : "no trouble");
    std::this_thread::sleep_for(trouble_time);
    seen.trouble = false;
    seen.record.write("trouble ends");
    std::this_thread::sleep_for(quiet_time);
    stopped = true;
    for (auto& thread : threads)
        thread.join();
    int ended = 0;
    for (const auto& gateway : system.gateways)
        ended += gateway->ended() ? 1 : 0;
    const auto summary =
        std::to_string(seen.served) + " served, " + std::to_string(seen.left) +
        " clients left, MIXED " + std::to_string(seen.foreign) +
        ", without an answer " + std::to_string(seen.unanswered) +
        ", gateways that ended by themselves " + std::to_string(ended);
    seen.record.write(summary);
    std::cout << summary << "\n";
    if (seen.served == 0)
        return not_run;
    return seen.foreign > 0 || ended > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string record = argc > 1 ? argv[1] : "record.txt";
    return review::run_case([&] { return play(record); });
}
