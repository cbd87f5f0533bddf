#pragma once

#include "http_standin.hpp"

#include <peridotward/base/json.hpp>

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace peridotward::testing {

/// The configuration service and the instance list.
///
///     GET  /v1/values/NAME[?after=VERSION]  reads, or waits for a newer one
///     GET  /v1/instances[?after=VERSION]    the list, in the same way
///     PUT  on the same paths                publishes
///     POST /control {down, stale, older}    faults, each a flag
///     GET  /ledger                          counts of calls
///
/// Each call counts once, a waiting watch too. Readers are told apart by the
/// header instance-id.
class platform_standin
{
public:
    explicit platform_standin(net::io_context& context) : context_{&context} {}

    void on_request(const standin_request& request, respond answer);

private:
    struct value
    {
        std::uint64_t version = 0;
        std::string text;
        std::uint64_t version_before = 0;
        std::string before; ///< Served while the service is stale.
    };

    struct watch
    {
        watch(net::io_context& context, std::string name, respond reply)
            : path{std::move(name)}, answer{std::move(reply)}, timer{context}
        {}
        std::string path;
        respond answer;
        net::steady_timer timer;
        bool done = false;
    };

    struct reader_counts
    {
        std::uint64_t reads = 0;
        std::uint64_t watches = 0;
    };

    [[nodiscard]] json control(const std::string& body);
    [[nodiscard]] json ledger() const;
    void publish(const std::string& path, const std::string& text);
    void
    read(const standin_request& request, const std::string& target, respond);
    void count(const standin_request& request, bool watching);
    void wait(const std::string& path, respond answer);
    void finish(watch& entry);
    void release_waiting();
    [[nodiscard]] standin_response current(const std::string& path);

    net::io_context* context_;
    std::map<std::string, value> values_;
    std::list<std::shared_ptr<watch>> waiting_;
    std::map<std::string, reader_counts> readers_;
    std::int64_t counted_second_ = 0;
    std::uint64_t calls_this_second_ = 0;
    std::uint64_t max_calls_per_second_ = 0;
    std::uint64_t refused_ = 0; ///< Calls while the service was down.
    bool down_ = false;
    bool stale_ = false;
    bool older_ = false; ///< Every second answer is the value before.
    bool give_older_ = false;
};

} // namespace peridotward::testing
