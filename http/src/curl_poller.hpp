#pragma once

#include <peridotward/base/time.hpp>

#include <curl/curl.h>

#include <optional>

namespace peridotward {

/// \brief Event loop of a libcurl multi handle, based on epoll.
///
/// \remarks The cost of a call of `run` depends on the number of ready sockets.
/// `curl_multi_perform` would visit all running transfers at each call.
class curl_poller
{
public:
    explicit curl_poller(CURLM* multi);
    ~curl_poller();
    curl_poller(const curl_poller&) = delete;
    curl_poller& operator=(const curl_poller&) = delete;

    /// \brief Waits up to `max_wait` for ready sockets, the libcurl timer or
    /// `wake`, then lets libcurl process them.
    void run(duration max_wait);

    /// \brief Makes a waiting `run` return; can be called from any thread.
    void wake() noexcept;

private:
    static int
    on_socket(CURL* easy, curl_socket_t socket, int action, void* self, void*);
    static int on_timer(CURLM* multi, long timeout_ms, void* self);
    void run_expired_timer();
    void reset_wake_event() noexcept;

    CURLM* multi_;
    int epoll_fd_ = -1;
    int wake_fd_ = -1;
    std::optional<time_point> timer_expiry_;
};

} // namespace peridotward
