#pragma once

#include <peridotward/base/clock.hpp>
#include <peridotward/base/json.hpp>
#include <peridotward/http/http_client.hpp>
#include <peridotward/instance/instance_runtime.hpp>

#include <platform_standin.hpp>
#include <standin_thread.hpp>
#include <upstream_group.hpp>

#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace peridotward::testing {

/// One instance in this process, with stand-ins for its platform and upstreams:
/// a search "all" over two shards with two upstreams each (left-1, left-2,
/// right-1, right-2), a service "desk" of kind `records` and a service
/// "billing" of kind `entries`, with two upstreams each.
class system_fixture
{
public:
    system_fixture();
    ~system_fixture();
    system_fixture(const system_fixture&) = delete;
    system_fixture& operator=(const system_fixture&) = delete;

    /// Sends one request to the caller listener of the instance.
    [[nodiscard]] client_response
    call(std::string method, std::string path, std::string body = {});

    /// Runs the search "all" for one subject.
    [[nodiscard]] client_response
    search(const std::string& subject, int deadline_ms = 2000);

    /// Changes the behaviour of matching upstreams; see `upstream_group`.
    void change_upstreams(const std::string& match, const json& behaviour);

    /// \returns The counters of all upstreams.
    [[nodiscard]] json ledger();

    /// \returns The sum of `counter` over all upstreams.
    [[nodiscard]] std::uint64_t sum_counter(const char* counter);

    /// \returns Whether `answer` holds the records that a filter over all
    /// records finds for `subject`, except for the ranges that the answer
    /// states as missing, and whether its status and completeness match these
    /// ranges.
    [[nodiscard]] bool
    is_correct(const std::string& subject, const client_response& answer);

    /// \returns The subject with this index, modulo the number of subjects.
    [[nodiscard]] std::string subject(std::size_t number) const;
    [[nodiscard]] const endpoint& callers() const noexcept { return callers_; }

    /// Milliseconds since the Unix epoch.
    [[nodiscard]] std::int64_t wall_ms() const;

private:
    void put(const std::string& path, std::string_view value);
    void publish();
    void wait_until_ready();
    void stop();

    const endpoint callers_{"127.35.3.1", 8080};
    const endpoint operators_{"127.35.3.1", 8081};
    const endpoint platform_address_{"127.35.3.100", 7000};
    machine_clock clock_;
    http_client client_;
    standin_thread standins_;
    platform_standin platform_;
    upstream_group upstreams_;
    std::optional<instance_runtime> instance_;
    std::thread instance_thread_;
};

} // namespace peridotward::testing
