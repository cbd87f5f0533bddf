#include "system_fixture.hpp"

#include <peridotward/config/bundle_parts.hpp>

#include <stdexcept>

namespace peridotward::testing {

namespace {

constexpr std::string_view bundle_text = R"({
  "version": 1, "deployment": "pwani",
  "domains": [{"id": "d1", "region": "r", "state": "in"},
              {"id": "d2", "region": "r", "state": "in"}],
  "seats": [{"id": "t-1", "domain": "d1"}],
  "caller_classes": [{"id": "office", "priority": "normal"}],
  "services": [
    {"id": "left", "kind": "search", "slots": 4, "connections": 20,
     "cold_slots": 1, "connect_cost_ms": 1, "cold_ramp_ms": 100},
    {"id": "right", "kind": "search", "slots": 4, "connections": 20,
     "cold_slots": 1, "connect_cost_ms": 1, "cold_ramp_ms": 100},
    {"id": "desk", "kind": "records", "slots": 2, "connections": 20,
     "cold_slots": 1, "connect_cost_ms": 1, "cold_ramp_ms": 100},
    {"id": "billing", "kind": "entries", "slots": 2, "connections": 20,
     "cold_slots": 1, "connect_cost_ms": 1, "cold_ramp_ms": 100}],
  "upstreams": [
    {"id": "left-1", "service": "left", "domain": "d1",
     "address": "127.35.4.1:9000"},
    {"id": "left-2", "service": "left", "domain": "d2",
     "address": "127.35.4.2:9000"},
    {"id": "right-1", "service": "right", "domain": "d1",
     "address": "127.35.4.3:9000"},
    {"id": "right-2", "service": "right", "domain": "d2",
     "address": "127.35.4.4:9000"},
    {"id": "desk-1", "service": "desk", "domain": "d1",
     "address": "127.35.4.5:9000"},
    {"id": "desk-2", "service": "desk", "domain": "d2",
     "address": "127.35.4.6:9000"},
    {"id": "billing-1", "service": "billing", "domain": "d1",
     "address": "127.35.4.7:9000"},
    {"id": "billing-2", "service": "billing", "domain": "d2",
     "address": "127.35.4.8:9000"}],
  "shard_maps": [{"id": "all", "from_snapshot": 0, "key_space": 4294967296,
    "shards": [{"service": "left", "range": [0, 2147483648]},
               {"service": "right", "range": [2147483648, 4294967296]}]}],
  "searches": [{"id": "all", "map": "all",
    "policy": {"prefer": "coverage", "coverage_target": 1.0,
               "default_deadline_ms": 1000, "max_deadline_ms": 10000,
               "max_queued": 64}}]
})";

constexpr std::string_view instances_text = R"({"version": 1, "instances": [
  {"id": "t-1", "domain": "d1", "callers": "127.35.3.1:8080",
   "peers": "127.35.3.1:8082", "state": "live"}]})";

constexpr std::string_view settings_text = R"({
  "instance": {"id": "t-1", "domain": "d1", "region": "r"},
  "callers": {"address": "127.35.3.1:8080", "threads": 2,
              "max_request_bytes": 8192},
  "operators": {"address": "127.35.3.1:8081"},
  "peers": {"address": "127.35.3.1:8082"},
  "platform": {"configuration": "127.35.3.100:7000",
               "instance_list": "127.35.3.100:7000",
               "poll_interval_ms": 100, "join_wait_ms": 100},
  "log": {"level": "error"},
  "limits": {"entries_max_age_ms": 2000, "stop_limit_ms": 5000}
})";

constexpr int max_ready_polls = 300;
constexpr milliseconds ready_poll_interval{20};

template<class Value>
Value value_or_throw(result<Value> value)
{
    if (!value)
        throw std::runtime_error{value.error().message};
    return std::move(*value);
}

client_response send_and_wait(http_client& client, client_request request)
{
    std::optional<client_response> received;
    client.submit(std::move(request), [&](client_response response) {
        received = std::move(response);
    });
    while (!received)
        client.poll(milliseconds{20});
    return std::move(*received);
}

} // namespace

system_fixture::system_fixture()
    : platform_{standins_.context()},
      upstreams_{standins_.context(), value_or_throw(parse_bundle(bundle_text))}
{
    upstreams_.start();
    auto hooks = std::make_shared<listener_hooks>();
    hooks->on_request = [this](const standin_request& request, respond answer) {
        platform_.on_request(request, std::move(answer));
    };
    listen(
        standins_.context(),
        platform_address_.host,
        platform_address_.port,
        hooks);
    standins_.start();
    publish();
    instance_.emplace(value_or_throw(parse_settings(settings_text)));
    if (const auto started = instance_->start(); !started)
        throw std::runtime_error{started.error().message};
    instance_thread_ = std::thread{[this] { instance_->run(); }};
    try {
        wait_until_ready();
    }
    catch (...) {
        stop();
        throw;
    }
}

system_fixture::~system_fixture()
{
    stop();
}

void system_fixture::stop()
{
    if (!instance_thread_.joinable())
        return;
    instance_->request_stop();
    instance_thread_.join();
}

void system_fixture::put(const std::string& path, std::string_view value)
{
    client_request request;
    request.to = platform_address_;
    request.method = "PUT";
    request.path = path;
    request.body = value;
    (void)send_and_wait(client_, std::move(request));
}

void system_fixture::publish()
{
    const std::string name = "bundle";
    const std::string prefix = "/v1/values/";
    const auto files =
        value_or_throw(split_bundle(value_or_throw(parse_json(bundle_text))));
    for (const auto& [digest, bytes] : files.parts)
        put(prefix + part_value_name(name, digest), bytes);
    put(prefix + name, manifest_text(files.root));
    put("/v1/instances", instances_text);
}

void system_fixture::wait_until_ready()
{
    client_request request;
    request.to = operators_;
    request.path = "/v1/health/ready";
    client_response last;
    for (int i = 0; i < max_ready_polls; ++i) {
        last = send_and_wait(client_, request);
        if (last.status == 200)
            last = search(subject(0));
        if (last.status == 200 && last.body.find("records") != last.body.npos)
            return;
        std::this_thread::sleep_for(ready_poll_interval);
    }
    throw std::runtime_error{"the instance did not become ready: " + last.body};
}

client_response
system_fixture::call(std::string method, std::string path, std::string body)
{
    client_request request;
    request.to = callers_;
    request.method = std::move(method);
    request.path = std::move(path);
    request.body = std::move(body);
    request.headers = {{"Content-Type", "application/json"}};
    request.timeout = seconds{10};
    request.fresh_connection = true;
    return send_and_wait(client_, std::move(request));
}

client_response
system_fixture::search(const std::string& subject, int deadline_ms)
{
    const json body{
        {"criteria", {{"subject", subject}}}, {"deadline_ms", deadline_ms}};
    return call("POST", "/v1/search/all", body.dump());
}

void system_fixture::change_upstreams(
    const std::string& match, const json& behaviour)
{
    standins_.invoke([&] { upstreams_.change(match, behaviour); });
}

json system_fixture::ledger()
{
    return standins_.invoke([this] { return upstreams_.ledger(); });
}

std::uint64_t system_fixture::sum_counter(const char* counter)
{
    std::uint64_t sum = 0;
    const auto report = ledger();
    for (const auto& entry : report.at("upstreams"))
        sum += entry.at(counter).get<std::uint64_t>();
    return sum;
}

bool system_fixture::is_correct(
    const std::string& subject, const client_response& answer)
{
    const auto body = json::parse(answer.body);
    const auto& missing = body.at("coverage").at("missing");
    const auto snapshot = body.at("snapshot").get<snapshot_id>();
    std::vector<record_key> expected;
    for (const auto* record : upstreams_.records().find(
             {0, ~record_key{0}}, snapshot, {{"subject", subject}})) {
        bool is_missing = false;
        for (const auto& missing_part : missing)
            is_missing =
                is_missing || (record->key >= missing_part.at("range").at(0) &&
                               record->key < missing_part.at("range").at(1));
        if (!is_missing)
            expected.push_back(record->key);
    }
    std::vector<record_key> found;
    for (const auto& record : body.at("records"))
        found.push_back(record.at("key").get<record_key>());
    const bool states_complete = body.at("answer") == "complete";
    return found == expected && states_complete == missing.empty() &&
           (answer.status == 200) == states_complete;
}

std::string system_fixture::subject(std::size_t number) const
{
    const auto& subjects = upstreams_.records().subjects();
    return subjects[number % subjects.size()];
}

std::int64_t system_fixture::wall_ms() const
{
    return clock_.wall().time_since_epoch().count();
}

} // namespace peridotward::testing
