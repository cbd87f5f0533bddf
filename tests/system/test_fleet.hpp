#pragma once

#include <peridotward/base/clock.hpp>
#include <peridotward/base/json.hpp>
#include <peridotward/http/http_client.hpp>
#include <peridotward/instance/instance_runtime.hpp>

#include <platform_standin.hpp>
#include <standin_thread.hpp>
#include <upstream_park.hpp>

#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace peridotward::testing {

/// One instance with its stand-ins: a search "all" over two shards with two
/// upstreams each (left-1, left-2, right-1, right-2), a service of records
/// "desk" and one of entries "billing" with two upstreams each.
class test_fleet
{
public:
    test_fleet();
    ~test_fleet();
    test_fleet(const test_fleet&) = delete;
    test_fleet& operator=(const test_fleet&) = delete;

    /// Sends one request to the instance's callers' listener.
    [[nodiscard]] client_response
    call(std::string method, std::string path, std::string body = {});

    /// Runs search "all" for one subject.
    [[nodiscard]] client_response
    search(const std::string& subject, int deadline_ms = 2000);

    /// Changes matching upstreams.
    void set(const std::string& match, const json& behaviour);

    [[nodiscard]] json ledger();

    /// \returns Sum of `counter` over all upstreams.
    [[nodiscard]] std::uint64_t counted(const char* counter);

    /// \returns Whether `answer` holds what a plain filter over all records
    /// finds for `subject`, but for the ranges that it states as missing.
    [[nodiscard]] bool
    right(const std::string& subject, const client_response& answer);

    [[nodiscard]] std::string subject(std::size_t number) const;
    [[nodiscard]] const endpoint& callers() const noexcept { return callers_; }

    /// Milliseconds since the Unix epoch.
    [[nodiscard]] std::int64_t wall_ms() const;

private:
    void put(const std::string& path, std::string_view value);
    void publish();
    void await_ready();
    void stop();

    const endpoint callers_{"127.35.3.1", 8080};
    const endpoint operators_{"127.35.3.1", 8081};
    const endpoint platform_address_{"127.35.3.100", 7000};
    machine_clock clock_;
    http_client client_;
    standin_thread standins_;
    platform_standin platform_;
    upstream_group park_;
    std::optional<instance_runtime> node_;
    std::thread serving_;
};

} // namespace peridotward::testing
