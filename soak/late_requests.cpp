#include "caller_connection.hpp"
#include "late_requests.hpp"

#include <array>
#include <atomic>

namespace peridotward::soak {

namespace {

constexpr int caller_count = 24;
constexpr std::array work_times{40, 300, 1200, 2650, 3700};
/// Work of the requests before the shutdown.
constexpr int short_work = 40;

std::string next_id()
{
    static std::atomic<int> last = 0;
    return "late-" + std::to_string(++last);
}

} // namespace

struct late_requests::caller
{
    caller_connection connection;
    attempt_record record;
    milliseconds delay{}; ///< From the signal to the request.

    void send(invariant_checker& checker)
    {
        record.id = next_id();
        record.sent = steady::now();
        connection.request(record, route_timeout);
        checker.record_attempt(record);
    }
};

late_requests::late_requests(
    invariant_checker& checker,
    const fleet& gateways,
    int instance,
    random_source& random)
    : checker_{&checker}
{
    for (int i = 0; i < caller_count; ++i) {
        auto added = std::make_unique<caller>();
        auto& record = added->record;
        record.instance = instance;
        record.at_most_once = random.below(2) == 0;
        const std::string prefix = record.at_most_once ? once_path : safe_path;
        const auto work = work_times.at(random.below(work_times.size()));
        added->delay = milliseconds{
            random.below(static_cast<std::uint64_t>(grace.count()))};
        if (!added->connection.connect(
                gateways.addresses().instance_host(instance)))
            continue;
        record.path = prefix + "work-" + std::to_string(short_work) + "/";
        added->send(checker);
        record = {};
        record.instance = instance;
        record.at_most_once = prefix == once_path;
        record.path = prefix + "work-" + std::to_string(work) + "/";
        record.on_idle_connection = true;
        callers_.push_back(std::move(added));
    }
}

late_requests::~late_requests()
{
    wait();
}

void late_requests::start(steady::time_point signal)
{
    for (const auto& each : callers_)
        threads_.emplace_back([this, &sender = *each, signal] {
            std::this_thread::sleep_until(signal + sender.delay);
            if (sender.connection.open() &&
                !sender.connection.is_closed_by_peer())
                sender.send(*checker_);
        });
}

void late_requests::wait()
{
    for (auto& thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
}

} // namespace peridotward::soak
