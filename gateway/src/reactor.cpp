#include <peridotward/gateway/reactor.hpp>

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

namespace peridotward {

namespace {

constexpr int max_events = 64;
/// Max wait without events; limits the delay that a missed timer causes.
constexpr milliseconds max_wait{1000};

void control(int epoll, int operation, int descriptor, epoll_event event)
{
    if (::epoll_ctl(epoll, operation, descriptor, &event) != 0)
        throw std::system_error{
            errno, std::generic_category(), "epoll_ctl failed"};
}

epoll_event event_of(std::uint32_t events, io_handler& handler)
{
    epoll_event event{};
    event.events = events;
    event.data.ptr = &handler;
    return event;
}

} // namespace

reactor::reactor(const clock& time)
    : clock_{&time}, epoll_{::epoll_create1(EPOLL_CLOEXEC)}, now_{time.now()}
{
    if (epoll_ < 0)
        throw std::system_error{
            errno, std::generic_category(), "epoll_create1 failed"};
}

reactor::~reactor()
{
    ::close(epoll_);
}

void reactor::add(int descriptor, std::uint32_t events, io_handler& handler)
{
    control(epoll_, EPOLL_CTL_ADD, descriptor, event_of(events, handler));
}

void reactor::modify(int descriptor, std::uint32_t events, io_handler& handler)
{
    control(epoll_, EPOLL_CTL_MOD, descriptor, event_of(events, handler));
}

void reactor::remove(int descriptor, io_handler& handler)
{
    control(epoll_, EPOLL_CTL_DEL, descriptor, {});
    std::replace(
        ready_handlers_.begin(),
        ready_handlers_.end(),
        &handler,
        static_cast<io_handler*>(nullptr));
}

void reactor::arm(reactor_timer& timer, time_point due)
{
    if (timer.is_linked()) {
        if (timer.due_ == due)
            return;
        timer.unlink();
    }
    timer.due_ = due;
    timers_.insert(timer);
}

void reactor::disarm(reactor_timer& timer) noexcept
{
    if (timer.is_linked())
        timer.unlink();
}

void reactor::defer(std::function<void()> action)
{
    deferred_.push_back(std::move(action));
}

int reactor::wait_milliseconds() const noexcept
{
    if (!deferred_.empty())
        return 0;
    if (timers_.empty())
        return static_cast<int>(max_wait.count());
    const auto left = timers_.begin()->due() - clock_->now();
    if (left <= duration::zero())
        return 0;
    const auto rounded = std::chrono::ceil<milliseconds>(left);
    return static_cast<int>(std::min(rounded, max_wait).count());
}

void reactor::run_timers()
{
    while (!timers_.empty() && timers_.begin()->due() <= now_) {
        auto& due = *timers_.begin();
        due.unlink();
        due.action_();
    }
}

void reactor::run_deferred()
{
    auto actions = std::exchange(deferred_, {});
    for (const auto& action : actions)
        action();
}

void reactor::run()
{
    while (!stopped_)
        run_once();
}

void reactor::run_once()
{
    std::array<epoll_event, max_events> events{};
    const int count =
        ::epoll_wait(epoll_, events.data(), max_events, wait_milliseconds());
    refresh();
    ready_handlers_.clear();
    for (int i = 0; i < count; ++i)
        ready_handlers_.push_back(
            static_cast<io_handler*>(events.at(i).data.ptr));
    for (int i = 0; i < count; ++i) {
        if (auto* handler = ready_handlers_[i])
            handler->on_events(events.at(i).events);
    }
    run_timers();
    run_deferred();
}

} // namespace peridotward
