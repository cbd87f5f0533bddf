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

/// A stand-in for the configuration service and the instance list.
///
///     GET  /v1/values/NAME[?after=VERSION]  returns the value, or with `after`
///                                           waits for a newer version
///     GET  /v1/instances[?after=VERSION]    the same for the instance list
///     PUT  on the same paths                publishes a new version
///     POST /control {down, stale, older}    sets or clears faults
///     GET  /ledger                          returns counts of calls
///
/// Each call is counted once, whether or not it waits. Calls are counted by the
/// request header instance-id.
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
        std::uint64_t previous_version = 0;
        std::string previous_text; ///< Previous text, served while the service
                                   ///< is stale.
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
    void add_watch(const std::string& path, respond answer);
    void finish(watch& entry);
    void end_watches();
    [[nodiscard]] standin_response current_response(const std::string& path);

    net::io_context* context_;
    std::map<std::string, value> values_;
    std::list<std::shared_ptr<watch>> watches_;
    std::map<std::string, reader_counts> readers_;
    std::int64_t current_second_ = 0;
    std::uint64_t calls_this_second_ = 0;
    std::uint64_t max_calls_per_second_ = 0;
    std::uint64_t refused_ = 0; ///< Calls while the service was down.
    bool down_ = false;
    bool stale_ = false;
    bool older_ = false; ///< Every second response has the previous value.
    bool serve_previous_ = false;
};

} // namespace peridotward::testing
