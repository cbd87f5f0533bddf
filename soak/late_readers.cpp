#include "late_readers.hpp"
#include "network_caller.hpp"

#include <peridotward/base/random.hpp>

#include <memory>
#include <string>

namespace peridotward::soak {

namespace {

/// Between the requests of a burst, so that most answers are complete before
/// the next one begins.
constexpr milliseconds request_interval{8};
/// From the last request of a burst until its callers read.
constexpr milliseconds min_read_delay{300};
constexpr std::uint64_t read_delay_spread_ms = 1000;
/// From the next request of a caller until it reads.
constexpr milliseconds early_interval{100};
constexpr std::uint64_t max_pause_ms = 1500;
/// More than the deadline, and less than the time after which an instance
/// closes a connection whose caller takes nothing.
constexpr milliseconds max_read_time{6000};
/// Of the requests that follow early; more than an instance buffers.
constexpr std::size_t next_body_bytes = 40'000;

/// Drops the body of an answer if it is right.
void check_body(attempt_record& record)
{
    record.body_checked =
        record.status == 200 &&
        record.body ==
            invariant_checker::body_of(
                record.id, invariant_checker::answer_bytes(record.path));
    if (record.body_checked)
        std::string{}.swap(record.body);
}

} // namespace

late_readers::late_readers(
    invariant_checker& checker,
    const fleet& gateways,
    int bursts,
    std::uint64_t seed)
    : checker_{&checker}, gateways_{&gateways}
{
    for (int i = 0; i < bursts; ++i)
        threads_.emplace_back([this, seed, i] { run(seed + i); });
}

late_readers::~late_readers()
{
    stop();
}

void late_readers::stop()
{
    stopped_ = true;
    for (auto& thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
}

void late_readers::run(std::uint64_t seed)
{
    random_source random{seed};
    for (std::uint64_t burst = 0; !stopped_; ++burst) {
        const auto instance = static_cast<int>(
            random.below(static_cast<std::uint64_t>(gateways_->size())));
        const auto host = gateways_->addresses().instance_host(instance);
        const bool sends_early = random.below(2) == 0;
        std::vector<std::unique_ptr<network_caller>> callers;
        std::vector<attempt_record> records;
        for (int i = 0; i < burst_size; ++i) {
            auto& record = records.emplace_back();
            record.id = "l" + std::to_string(seed) + "-" +
                        std::to_string(burst) + "-" + std::to_string(i);
            record.path = "/huge/";
            record.instance = instance;
            record.reads_late = true;
            record.sent = record.ended = steady::now();
            callers.push_back(std::make_unique<network_caller>(host));
            record.refused_to_connect = !callers.back()->send(record, deadline);
            std::this_thread::sleep_for(request_interval);
        }
        std::this_thread::sleep_for(
            min_read_delay + milliseconds{random.below(read_delay_spread_ms)});
        if (sends_early) {
            // The answers are complete, or are being written.
            for (const auto& caller : callers)
                caller->send_early(next_body_bytes);
            std::this_thread::sleep_for(early_interval);
        }
        const auto until = steady::now() + max_read_time;
        for (std::size_t open = callers.size();
             open > 0 && steady::now() < until;) {
            open = 0;
            for (std::size_t i = 0; i < callers.size(); ++i) {
                if (callers[i] && !callers[i]->read())
                    ++open;
                else if (callers[i]) {
                    callers[i]->store_answer(records[i]);
                    check_body(records[i]);
                    records[i].ended = steady::now();
                    callers[i].reset();
                }
            }
            std::this_thread::sleep_for(milliseconds{2});
        }
        for (auto& record : records) {
            if (record.ended == record.sent)
                record.ended = steady::now();
            checker_->record_attempt(std::move(record));
        }
        std::this_thread::sleep_for(milliseconds{random.below(max_pause_ms)});
    }
}

} // namespace peridotward::soak
