#include <peridotward/core/quarantine/crash_history_exchange.hpp>

#include <algorithm>
#include <utility>

namespace peridotward {

std::vector<std::string> crash_history_exchange::random_others(
    const fleet_view& fleet, std::size_t count)
{
    std::vector<std::string> chosen;
    count = std::min(count, fleet.others.size());
    while (chosen.size() < count) {
        const auto& other = fleet.others[random_->below(fleet.others.size())];
        if (std::find(chosen.begin(), chosen.end(), other) == chosen.end())
            chosen.push_back(other);
    }
    return chosen;
}

void crash_history_exchange::request_records(
    const fleet_view& fleet, time_point now, std::vector<outgoing_message>& out)
{
    const bool paused = now - last_poll_ > pause_limit;
    const bool reunited = fleet.others.size() > 2 * last_others_;
    last_poll_ = now;
    last_others_ = fleet.others.size();
    if (paused || reunited) {
        complete_ = false;
        request_until_ = now + max_request_time;
    }
    if (now >= request_until_)
        complete_ = true;
    if (complete_ || now < next_request_)
        return;
    next_request_ = now + request_interval;
    for (auto& to : random_others(fleet, 2))
        out.push_back({std::move(to), crash_records{true, false, {}}});
}

void crash_history_exchange::poll(
    const fleet_view& fleet, time_point now, std::vector<outgoing_message>& out)
{
    history_->expire(now);
    request_records(fleet, now, out);
    if (history_->size() == 0)
        return;
    if (const auto changed =
            history_->take_changed(max_records_per_message, now);
        !changed.empty()) {
        for (auto& to : random_others(fleet, fanout))
            out.push_back(
                {std::move(to), crash_records{false, false, changed}});
    }
    if (now < next_repeat_)
        return;
    next_repeat_ = now + repeat_interval;
    const auto repeated = history_->next_records(
        max_records_per_message, min_repeated_level, now);
    if (repeated.empty())
        return;
    for (auto& to : random_others(fleet, 1))
        out.push_back({std::move(to), crash_records{false, false, repeated}});
}

void crash_history_exchange::on_message(
    std::string_view from,
    const crash_records& message,
    time_point now,
    std::vector<outgoing_message>& out)
{
    for (const auto& record : message.records) {
        if (history_->merge(record, now) && on_raised)
            on_raised(record.request, from);
    }
    complete_ = complete_ || message.complete;
    if (!message.wanted)
        return;
    auto left = history_->size();
    for (std::size_t i = 0; i < max_answer_messages; ++i) {
        auto records = history_->next_records(
            std::min(left, max_records_per_message), 1, now);
        left -= std::min(left, records.size());
        const bool last = records.empty() || left == 0;
        out.push_back(
            {std::string{from},
             crash_records{false, last && complete_, std::move(records)}});
        if (last)
            return;
    }
}

} // namespace peridotward
