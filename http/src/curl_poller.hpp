#pragma once

#include <peridotward/base/time.hpp>

#include <curl/curl.h>

#include <optional>

namespace peridotward {

/// \brief Tells libcurl which of its sockets are ready, by epoll.
///
/// \remarks The cost of a call depends on the sockets that are ready, not on
/// the number of running exchanges, which `curl_multi_perform` visits all.
class curl_poller
{
public:
    explicit curl_poller(CURLM* multi);
    ~curl_poller();
    curl_poller(const curl_poller&) = delete;
    curl_poller& operator=(const curl_poller&) = delete;

    /// \brief Waits up to `max_wait` for sockets, libcurl's timer or `wake`,
    /// and lets libcurl act on them.
    void run(duration max_wait);

    /// \brief Ends a waiting `run`; callable from any thread.
    void wake() noexcept;

private:
    static int
    on_socket(CURL* easy, curl_socket_t socket, int what, void* self, void*);
    static int on_timer(CURLM* multi, long timeout_ms, void* self);
    void act_on_timer();
    void drain_wake_ups() noexcept;

    CURLM* multi_;
    int epoll_ = -1;
    int wake_up_ = -1;
    std::optional<time_point> timer_;
};

} // namespace peridotward
