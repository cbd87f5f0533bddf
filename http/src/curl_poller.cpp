#include "curl_poller.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <system_error>

namespace peridotward {

namespace {

constexpr std::size_t max_events = 256;

std::uint32_t to_epoll_events(int action)
{
    switch (action) {
    case CURL_POLL_IN:
        return EPOLLIN;
    case CURL_POLL_OUT:
        return EPOLLOUT;
    default:
        return EPOLLIN | EPOLLOUT;
    }
}

int to_curl_events(std::uint32_t ready)
{
    int events = 0;
    if ((ready & (EPOLLIN | EPOLLHUP)) != 0)
        events |= CURL_CSELECT_IN;
    if ((ready & EPOLLOUT) != 0)
        events |= CURL_CSELECT_OUT;
    if ((ready & EPOLLERR) != 0)
        events |= CURL_CSELECT_ERR;
    return events;
}

timespec to_timespec(duration wait)
{
    const auto whole = std::chrono::duration_cast<seconds>(wait);
    timespec converted{};
    converted.tv_sec = whole.count();
    converted.tv_nsec = nanoseconds{wait - whole}.count();
    return converted;
}

int checked(int descriptor, const char* call)
{
    if (descriptor < 0)
        throw std::system_error{errno, std::generic_category(), call};
    return descriptor;
}

} // namespace

curl_poller::curl_poller(CURLM* multi)
    : multi_{multi},
      epoll_fd_{checked(::epoll_create1(EPOLL_CLOEXEC), "epoll_create1")},
      wake_fd_{checked(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC), "eventfd")}
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = wake_fd_;
    checked(
        ::epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, wake_fd_, &event), "epoll_ctl");
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, on_socket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, on_timer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
}

curl_poller::~curl_poller()
{
    ::close(wake_fd_);
    ::close(epoll_fd_);
}

void curl_poller::run(duration max_wait)
{
    run_expired_timer();
    auto wait = std::max(duration::zero(), max_wait);
    if (timer_expiry_)
        wait = std::clamp(
            *timer_expiry_ - time_point::clock::now(), duration::zero(), wait);
    const auto wait_limit = to_timespec(wait);
    std::array<epoll_event, max_events> ready{};
    const int count = ::epoll_pwait2(
        epoll_fd_, ready.data(), max_events, &wait_limit, nullptr);
    int running = 0;
    for (int i = 0; i < count; ++i) {
        const auto& event = ready[static_cast<std::size_t>(i)];
        if (event.data.fd == wake_fd_)
            reset_wake_event();
        else
            curl_multi_socket_action(
                multi_, event.data.fd, to_curl_events(event.events), &running);
    }
    run_expired_timer();
}

void curl_poller::wake() noexcept
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(wake_fd_, &one, sizeof one);
}

void curl_poller::reset_wake_event() noexcept
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto bytes = ::read(wake_fd_, &count, sizeof count);
}

void curl_poller::run_expired_timer()
{
    if (!timer_expiry_ || *timer_expiry_ > time_point::clock::now())
        return;
    timer_expiry_.reset();
    int running = 0;
    curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
}

int curl_poller::on_socket(
    CURL* /*easy*/,
    curl_socket_t socket,
    int action,
    void* self,
    void* /*socket_data*/)
{
    const int epoll = static_cast<curl_poller*>(self)->epoll_fd_;
    epoll_event event{};
    event.data.fd = socket;
    if (action == CURL_POLL_REMOVE) {
        ::epoll_ctl(epoll, EPOLL_CTL_DEL, socket, &event);
        return 0;
    }
    event.events = to_epoll_events(action);
    if (::epoll_ctl(epoll, EPOLL_CTL_MOD, socket, &event) != 0 &&
        errno == ENOENT)
        ::epoll_ctl(epoll, EPOLL_CTL_ADD, socket, &event);
    return 0;
}

int curl_poller::on_timer(CURLM* /*multi*/, long timeout_ms, void* self)
{
    auto& timer = static_cast<curl_poller*>(self)->timer_expiry_;
    if (timeout_ms < 0)
        timer.reset();
    else
        timer = time_point::clock::now() + milliseconds{timeout_ms};
    return 0;
}

} // namespace peridotward
