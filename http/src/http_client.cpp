#include "curl_poller.hpp"

#include <peridotward/http/http_client.hpp>

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <optional>
#include <unordered_map>
#include <vector>

namespace peridotward {

namespace {

constexpr long max_cached_connections = 4096;
constexpr std::size_t max_idle_handles = 1024;

/// A running exchange and its libcurl handle.
struct exchange
{
    CURL* easy = nullptr;
    curl_slist* header_list = nullptr;
    client_exchange_id id{};
    client_request request;
    client_response response;
    http_client::completion done;
    std::size_t max_body_bytes = 0;
    bool too_large = false;
    bool headers_ended = false; ///< Received the blank line after the fields.
};

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& self = *static_cast<exchange*>(user);
    const auto bytes = size * count;
    if (self.response.body.size() + bytes > self.max_body_bytes) {
        self.too_large = true;
        return 0;
    }
    self.response.body.append(data, bytes);
    return bytes;
}

std::size_t
on_header(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& self = *static_cast<exchange*>(user);
    const std::string_view line{data, size * count};
    if (line.starts_with("HTTP/")) {
        // The answer before this one, if any, was an interim one.
        self.headers_ended = false;
        self.response.headers.clear();
    }
    if (line == "\r\n" || line == "\n")
        self.headers_ended = true;
    const auto colon = line.find(':');
    if (colon == std::string_view::npos)
        return line.size();
    std::string name{line.substr(0, colon)};
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    auto value = line.substr(colon + 1);
    const auto first = value.find_first_not_of(" \t");
    const auto last = value.find_last_not_of(" \t\r\n");
    value = first == std::string_view::npos
                ? std::string_view{}
                : value.substr(first, last - first + 1);
    self.response.headers.emplace_back(std::move(name), value);
    return line.size();
}

/// Called by libcurl when the connection is open, before the request is sent.
int before_request(void* user, char*, char*, int, int)
{
    const auto& self = *static_cast<exchange*>(user);
    return self.request.may_send() ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

/// \returns Whether the header fields are complete and define the length of the
/// body. Otherwise a truncated response cannot be detected: libcurl reports
/// success when the connection closes within the header fields, or after a body
/// without a length.
bool is_self_delimited(const exchange& ended)
{
    const auto& headers = ended.response.headers;
    return ended.headers_ended &&
           (!find_header(headers, "content-length").empty() ||
            !find_header(headers, "transfer-encoding").empty());
}

/// \returns Whether `status` can end an exchange (RFC 9110, section 15).
bool is_final_status(long status)
{
    return status >= 200 && status <= 599;
}

transport_outcome outcome_of(const exchange& ended, CURLcode code, long status)
{
    if (code == CURLE_OK)
        return is_self_delimited(ended) && is_final_status(status)
                   ? transport_outcome::answered
                   : transport_outcome::broken;
    if (ended.too_large)
        return transport_outcome::body_too_large;
    long sent_bytes = 0;
    curl_easy_getinfo(ended.easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
    if (sent_bytes == 0)
        return transport_outcome::not_sent;
    return code == CURLE_OPERATION_TIMEDOUT ? transport_outcome::timed_out
                                            : transport_outcome::broken;
}

} // namespace

struct http_client::impl
{
    CURLM* multi = nullptr;
    std::optional<curl_poller> poller;
    std::size_t max_body_bytes = 0;
    std::uint64_t last_id = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<exchange>> running;
    std::vector<CURL*> idle_handles;

    CURL* acquire_handle()
    {
        if (idle_handles.empty())
            return curl_easy_init();
        CURL* easy = idle_handles.back();
        idle_handles.pop_back();
        return easy;
    }

    void release(exchange& ended)
    {
        curl_multi_remove_handle(multi, ended.easy);
        curl_slist_free_all(ended.header_list);
        if (idle_handles.size() < max_idle_handles) {
            curl_easy_reset(ended.easy);
            idle_handles.push_back(ended.easy);
        }
        else {
            curl_easy_cleanup(ended.easy);
        }
    }

    void prepare(exchange& started);
    void finish(CURL* easy, CURLcode code);
    void finish_completed();
};

void http_client::impl::prepare(exchange& started)
{
    CURL* easy = started.easy;
    const auto& request = started.request;
    const auto url = "http://" + request.to.text() + request.path;
    const auto timeout_ms = std::max<std::int64_t>(
        1, std::chrono::duration_cast<milliseconds>(request.timeout).count());
    for (const auto& [name, value] : request.headers) {
        const auto line = name + ": " + value;
        started.header_list =
            curl_slist_append(started.header_list, line.c_str());
    }
    for (const char* line : {"Connection: keep-alive", "Expect:"})
        started.header_list = curl_slist_append(started.header_list, line);
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, started.header_list);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout_ms));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &started);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &started);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &started);
    if (request.may_send) {
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_request);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &started);
    }
    if (request.fresh_connection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (request.method == "POST" || !request.body.empty()) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(
            easy,
            CURLOPT_POSTFIELDSIZE,
            static_cast<long>(request.body.size()));
    }
    if (request.method != "GET" && request.method != "POST")
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void http_client::impl::finish(CURL* easy, CURLcode code)
{
    exchange* found = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &found);
    auto node = running.extract(static_cast<std::uint64_t>(found->id));
    auto& ended = *node.mapped();
    long status = 0;
    curl_off_t elapsed_us = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(easy, CURLINFO_TOTAL_TIME_T, &elapsed_us);
    ended.response.outcome = outcome_of(ended, code, status);
    ended.response.status = static_cast<std::uint16_t>(status);
    ended.response.elapsed = microseconds{elapsed_us};
    release(ended);
    ended.done(std::move(ended.response));
}

void http_client::impl::finish_completed()
{
    int remaining_messages = 0;
    while (CURLMsg* message =
               curl_multi_info_read(multi, &remaining_messages)) {
        if (message->msg == CURLMSG_DONE)
            finish(message->easy_handle, message->data.result);
    }
}

http_client::http_client(std::size_t max_body_bytes)
    : impl_{std::make_unique<impl>()}
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    impl_->multi = curl_multi_init();
    impl_->poller.emplace(impl_->multi);
    impl_->max_body_bytes = max_body_bytes;
    curl_multi_setopt(
        impl_->multi, CURLMOPT_MAXCONNECTS, max_cached_connections);
}

http_client::~http_client()
{
    for (auto& [id, running_exchange] : impl_->running)
        impl_->release(*running_exchange);
    for (CURL* easy : impl_->idle_handles)
        curl_easy_cleanup(easy);
    curl_multi_cleanup(impl_->multi);
}

client_exchange_id http_client::submit(client_request request, completion done)
{
    auto started = std::make_unique<exchange>();
    started->id = client_exchange_id{++impl_->last_id};
    started->request = std::move(request);
    started->done = std::move(done);
    started->max_body_bytes = impl_->max_body_bytes;
    started->easy = impl_->acquire_handle();
    impl_->prepare(*started);
    curl_multi_add_handle(impl_->multi, started->easy);
    const auto id = started->id;
    impl_->running.emplace(static_cast<std::uint64_t>(id), std::move(started));
    return id;
}

void http_client::cancel(client_exchange_id id)
{
    auto node = impl_->running.extract(static_cast<std::uint64_t>(id));
    if (!node.empty())
        impl_->release(*node.mapped());
}

void http_client::poll(duration max_wait)
{
    impl_->poller->run(max_wait);
    impl_->finish_completed();
}

void http_client::wake() noexcept
{
    impl_->poller->wake();
}

std::size_t http_client::running() const noexcept
{
    return impl_->running.size();
}

} // namespace peridotward
