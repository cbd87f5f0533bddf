#include "caller_connection.hpp"
#include "callers.hpp"

#include <peridotward/base/random.hpp>

namespace peridotward::soak {

namespace {

constexpr milliseconds caller_deadline{800};
constexpr int reconnect_pause_ms = 5;

} // namespace

callers::callers(
    invariant_checker& checker,
    const fleet& gateways,
    const caller_options& options,
    std::uint64_t seed)
    : checker_{&checker},
      gateways_{&gateways},
      options_{options},
      paths_{
          "/search/",
          "/search/",
          "/search/",
          "/once/",
          "/read/",
          invariant_checker::brittle_path}
{
    for (int i = 0; i < options.count; ++i)
        threads_.emplace_back([this, i, seed] { run(i, seed + i); });
}

callers::~callers()
{
    stop();
}

void callers::stop()
{
    stopped_ = true;
    for (auto& thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
}

void callers::add_path(std::string path)
{
    const std::lock_guard lock{mutex_};
    paths_.push_back(std::move(path));
}

void callers::send_once(attempt_record record)
{
    caller_connection connection;
    record.sent = steady::now();
    if (connection.connect(
            gateways_->addresses().instance_host(record.instance)))
        connection.request(record, caller_deadline);
    else {
        record.refused_to_connect = true;
        record.ended = steady::now();
    }
    checker_->record_attempt(std::move(record));
}

void callers::run(int caller_number, std::uint64_t seed)
{
    random_source random{seed};
    caller_connection connection;
    int instance = caller_number % gateways_->size();
    for (std::uint64_t count = 0; !stopped_; ++count) {
        attempt_record record;
        {
            const std::lock_guard lock{mutex_};
            record.path = paths_[random.below(paths_.size())];
        }
        const bool reconnects = options_.reconnect_share > 0 &&
                                random.unit() < options_.reconnect_share;
        if (reconnects)
            connection.close();
        if (!connection.open())
            instance = static_cast<int>(
                random.below(static_cast<std::uint64_t>(gateways_->size())));
        record.id =
            "c" + std::to_string(caller_number) + "-" + std::to_string(count);
        record.at_most_once = record.path == "/once/";
        record.instance = instance;
        record.sent = steady::now();
        if (!connection.open() &&
            !connection.connect(
                gateways_->addresses().instance_host(instance))) {
            record.refused_to_connect = true;
            record.ended = steady::now();
        }
        else
            connection.request(record, caller_deadline);
        // A caller goes on to another instance at once when one is down.
        const auto pause =
            record.refused_to_connect ? reconnect_pause_ms : options_.pause_ms;
        checker_->record_attempt(std::move(record));
        std::this_thread::sleep_for(milliseconds{
            pause + random.below(4 * static_cast<std::uint64_t>(pause))});
    }
}

} // namespace peridotward::soak
