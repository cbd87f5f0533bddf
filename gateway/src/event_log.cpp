#include <peridotward/base/log_text.hpp>
#include <peridotward/gateway/event_log.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace peridotward {

namespace {

std::string milliseconds_text(duration time)
{
    const auto tenths =
        std::chrono::duration_cast<microseconds>(time).count() / 100;
    return std::to_string(tenths / 10) + "." +
           std::to_string(tenths < 0 ? -tenths % 10 : tenths % 10) + "ms";
}

} // namespace

event_field::event_field(std::string_view name, duration time)
    : key{name}, value{milliseconds_text(time)}
{}

event_log::event_log(int descriptor, std::string instance, const clock& time)
    : descriptor_{descriptor}, instance_{std::move(instance)}, clock_{&time}
{
    const int flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0)
        (void)::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

void event_log::update_window(time_point now)
{
    if (now - window_start_ < seconds{1})
        return;
    window_start_ = now;
    window_lines_ = 0;
    if (unreported_drops_ == 0)
        return;
    const auto drops = std::exchange(unreported_drops_, 0);
    append(now, "log_left_out", {{"lines", drops}});
}

bool event_log::accepts_routine(time_point now)
{
    update_window(now);
    const bool allowed = window_lines_ + notable_reserve < lines_per_second;
    if (!allowed) {
        ++unreported_drops_;
        ++dropped_;
    }
    return allowed;
}

void event_log::write(
    time_point now,
    event_severity severity,
    std::string_view event,
    std::initializer_list<event_field> fields)
{
    update_window(now);
    const auto reserve =
        severity == event_severity::notable ? 0 : notable_reserve;
    if (window_lines_ + reserve >= lines_per_second ||
        pending_.size() > max_pending_bytes) {
        ++unreported_drops_;
        ++dropped_;
        return;
    }
    ++window_lines_;
    append(now, event, fields);
}

void event_log::append(
    time_point now,
    std::string_view event,
    std::initializer_list<event_field> fields)
{
    pending_ += "time=";
    append_log_time(pending_, clock_->wall());
    pending_ += " t=";
    pending_ += std::to_string(
        std::chrono::duration_cast<microseconds>(now.time_since_epoch())
            .count());
    pending_ += " instance=";
    pending_ += instance_;
    pending_ += " event=";
    pending_ += event;
    for (const auto& field : fields) {
        pending_ += ' ';
        pending_ += field.key;
        pending_ += '=';
        append_log_value(pending_, field.value);
    }
    pending_ += '\n';
}

void event_log::flush()
{
    if (pending_.empty())
        return;
    const auto written = ::write(descriptor_, pending_.data(), pending_.size());
    if (written > 0)
        pending_.erase(0, static_cast<std::size_t>(written));
}

} // namespace peridotward
