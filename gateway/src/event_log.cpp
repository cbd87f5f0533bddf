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

void event_log::next_second(time_point now)
{
    if (now - second_ < seconds{1})
        return;
    second_ = now;
    written_ = 0;
    if (left_out_ == 0)
        return;
    const auto left_out = std::exchange(left_out_, 0);
    append(now, "log_left_out", {{"lines", left_out}});
}

bool event_log::wants_routine(time_point now)
{
    next_second(now);
    const bool wanted = written_ + notable_reserve < lines_per_second;
    if (!wanted) {
        ++left_out_;
        ++dropped_;
    }
    return wanted;
}

void event_log::write(
    time_point now,
    event_rank rank,
    std::string_view event,
    std::initializer_list<event_field> fields)
{
    next_second(now);
    const auto reserve = rank == event_rank::notable ? 0 : notable_reserve;
    if (written_ + reserve >= lines_per_second ||
        pending_.size() > most_pending) {
        ++left_out_;
        ++dropped_;
        return;
    }
    ++written_;
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
    const auto taken = ::write(descriptor_, pending_.data(), pending_.size());
    if (taken > 0)
        pending_.erase(0, static_cast<std::size_t>(taken));
}

} // namespace peridotward
