#include "lab.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>

namespace lab {

namespace {

using steady = std::chrono::steady_clock;
const auto started = steady::now();

std::FILE* record_file = nullptr;
std::mutex record_mutex;

sockaddr_in address_of(const std::string& host, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

bool same_name(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return std::tolower(x) == std::tolower(y);
           });
}

std::string unescaped(std::string_view text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain += static_cast<char>(
                std::stoi(std::string{text.substr(i + 1, 2)}, nullptr, 16));
            i += 2;
        }
        else
            plain += text[i];
    }
    return plain;
}

std::string parameter(std::string_view target, std::string_view key)
{
    auto query = target.substr(std::min(target.find('?'), target.size()));
    while (!query.empty()) {
        query.remove_prefix(1);
        const auto end = std::min(query.find('&'), query.size());
        const auto part = query.substr(0, end);
        if (part.starts_with(key) && part.size() > key.size() &&
            part[key.size()] == '=')
            return unescaped(part.substr(key.size() + 1));
        query.remove_prefix(end);
    }
    return {};
}

std::uint64_t number(const std::string& text)
{
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

std::string http_answer(int status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " Status\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               steady::now() - started)
        .count();
}

void sleep_ms(std::int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{time});
}

void sleep_until_ms(std::int64_t time)
{
    sleep_ms(std::max<std::int64_t>(time - now_ms(), 0));
}

void open_record(const std::string& path)
{
    ::signal(SIGPIPE, SIG_IGN);
    record_file = std::fopen(path.c_str(), "w");
    record("start, %s", with_trouble() ? "with the disruption" : "without");
}

void record(const char* format, ...)
{
    char text[2048];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock{record_mutex};
    if (record_file == nullptr)
        return;
    std::fprintf(record_file, "%8.3f %s\n", now_ms() / 1000.0, text);
    std::fflush(record_file);
}

std::string message::field(std::string_view name) const
{
    for (const auto& each : fields) {
        if (same_name(each.first, name))
            return each.second;
    }
    return {};
}

bool message::has(std::string_view name) const
{
    return std::any_of(fields.begin(), fields.end(), [&](const auto& each) {
        return same_name(each.first, name);
    });
}

std::string message::method() const
{
    return first_line.substr(0, first_line.find(' '));
}

std::string message::target() const
{
    const auto begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
}

int message::status() const
{
    return std::atoi(first_line.c_str() + first_line.find(' '));
}

connection::~connection()
{
    ::close(descriptor_);
}

void connection::shut_down()
{
    ::shutdown(descriptor_, SHUT_RDWR);
}

void connection::reset()
{
    const linger hard{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    // Another thread may still read: the descriptor stays, the stream ends.
    sockaddr address{};
    address.sa_family = AF_UNSPEC;
    ::connect(descriptor_, &address, sizeof address);
}

bool connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto sent =
            ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool connection::fill(std::int64_t deadline)
{
    pollfd waiting{descriptor_, POLLIN, 0};
    while (true) {
        const auto left =
            deadline < 0 ? -1 : std::max<std::int64_t>(deadline - now_ms(), 0);
        const int count = ::poll(&waiting, 1, static_cast<int>(left));
        if (count < 0 && errno == EINTR)
            continue;
        if (count == 0) {
            ended = end::timed_out;
            return false;
        }
        break;
    }
    char buffer[65536];
    const auto received = ::recv(descriptor_, buffer, sizeof buffer, 0);
    if (received <= 0) {
        ended = received == 0 ? end::closed : end::was_reset;
        return false;
    }
    input_.append(buffer, static_cast<std::size_t>(received));
    return true;
}

std::optional<message> connection::read_head(std::int64_t timeout_ms)
{
    const auto deadline = timeout_ms < 0 ? -1 : now_ms() + timeout_ms;
    ended = end::none;
    std::size_t head_end = 0;
    while ((head_end = input_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(deadline))
            return std::nullopt;
    }
    message read;
    std::string_view head{input_.data(), head_end};
    bool first = true;
    while (!head.empty()) {
        const auto line_end = std::min(head.find("\r\n"), head.size());
        const auto line = head.substr(0, line_end);
        head.remove_prefix(std::min(line_end + 2, head.size()));
        if (std::exchange(first, false)) {
            read.first_line = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon == std::string_view::npos)
            continue;
        auto value = line.substr(colon + 1);
        while (!value.empty() && value.front() == ' ')
            value.remove_prefix(1);
        read.fields.emplace_back(line.substr(0, colon), value);
    }
    input_.erase(0, head_end + 4);
    return read;
}

std::optional<message> connection::read(std::int64_t timeout_ms, bool answer)
{
    const auto deadline = timeout_ms < 0 ? -1 : now_ms() + timeout_ms;
    auto read = read_head(timeout_ms);
    if (!read)
        return std::nullopt;
    if (read->has("Content-Length")) {
        const auto length = number(read->field("Content-Length"));
        while (input_.size() < length) {
            if (!fill(deadline))
                return std::nullopt;
        }
        read->body = input_.substr(0, length);
        input_.erase(0, length);
    }
    else if (same_name(read->field("Transfer-Encoding"), "chunked")) {
        while (true) {
            std::size_t line_end = 0;
            while ((line_end = input_.find("\r\n")) == std::string::npos) {
                if (!fill(deadline))
                    return std::nullopt;
            }
            const auto size = std::strtoull(input_.c_str(), nullptr, 16);
            while (input_.size() < line_end + 2 + size + 2) {
                if (!fill(deadline))
                    return std::nullopt;
            }
            read->body += input_.substr(line_end + 2, size);
            input_.erase(0, line_end + 2 + size + 2);
            if (size == 0)
                break;
        }
    }
    else if (answer) {
        while (fill(deadline)) {
        }
        if (ended != end::closed)
            return std::nullopt;
        read->body = std::exchange(input_, {});
    }
    return read;
}

listener::listener(
    const std::string& host,
    std::uint16_t port,
    std::function<void(std::shared_ptr<connection>)> serve)
    : serve_{std::move(serve)}
{
    descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = address_of(host, port);
    if (::bind(
            descriptor_,
            reinterpret_cast<const sockaddr*>(&address),
            sizeof address) != 0 ||
        ::listen(descriptor_, 512) != 0) {
        record("cannot listen on %s:%u", host.c_str(), port);
        finish(2);
    }
    thread_ = std::thread{[this] {
        while (true) {
            pollfd waiting{descriptor_, POLLIN, 0};
            ::poll(&waiting, 1, 1000);
            const int accepted =
                ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                if (errno == EINVAL || errno == EBADF)
                    return;
                continue;
            }
            const int no_delay = 1;
            ::setsockopt(
                accepted, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
            auto with = std::make_shared<connection>(accepted);
            {
                const std::lock_guard lock{mutex_};
                std::erase_if(
                    open_, [](const auto& each) { return each.expired(); });
                open_.push_back(with);
            }
            std::thread{[serve = serve_, with] { serve(with); }}.detach();
        }
    }};
}

listener::~listener()
{
    stop();
}

void listener::stop()
{
    if (descriptor_ < 0)
        return;
    ::shutdown(descriptor_, SHUT_RDWR);
    thread_.join();
    ::close(descriptor_);
    descriptor_ = -1;
    const std::lock_guard lock{mutex_};
    for (const auto& each : open_) {
        if (const auto with = each.lock())
            with->reset();
    }
}

std::size_t
store::add_link(const std::string& host, std::uint16_t port, bool second)
{
    links_.push_back(std::make_unique<link>());
    auto& added = *links_.back();
    added.second = second;
    added.accept = std::make_unique<listener>(
        host, port, [this, &added](const auto& with) { serve(added, with); });
    return links_.size() - 1;
}

void store::set_mode(std::size_t link, mode how)
{
    links_[link]->how = how;
    const std::lock_guard lock{mutex_};
    changed_.notify_all();
}

std::uint64_t store::put(
    const std::string& key,
    const std::string& value,
    const std::string& second_value)
{
    const std::lock_guard lock{mutex_};
    const auto revision = ++revision_;
    const auto json = [&](const std::string& shown) {
        return R"({"key":")" + key + R"(","value":")" + base64(shown) +
               R"(","revision":)" + std::to_string(revision) +
               R"(,"created":)" + std::to_string(revision) + R"(,"lease":0})";
    };
    const auto first = std::make_shared<const std::string>(json(value));
    const auto second =
        second_value.empty()
            ? first
            : std::make_shared<const std::string>(json(second_value));
    items_[key] = {revision, {first, second}};
    history_.push_back({now_ms(), revision, {first, second}});
    changed_.notify_all();
    return revision;
}

void store::remove(const std::string& key)
{
    const std::lock_guard lock{mutex_};
    if (items_.erase(key) == 0)
        return;
    const auto revision = ++revision_;
    const auto json = std::make_shared<const std::string>(
        R"({"key":")" + key + R"(","revision":)" + std::to_string(revision) +
        R"(,"removed":true})");
    history_.push_back({now_ms(), revision, {json, json}});
    changed_.notify_all();
}

std::string
store::list(const link& at, const std::string& prefix, const std::string& after)
{
    constexpr std::size_t max_items = 500;
    constexpr std::size_t max_bytes = 1 << 20;
    const std::lock_guard lock{mutex_};
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (auto each = items_.upper_bound(after); each != items_.end(); ++each) {
        if (!each->first.starts_with(prefix))
            continue;
        if (count == max_items || (count > 0 && items.size() > max_bytes)) {
            more = true;
            break;
        }
        items +=
            (count++ > 0 ? "," : "") + *each->second.json[at.second ? 1 : 0];
    }
    return R"({"items":[)" + items + R"(],"hasMore":)" +
           (more ? "true" : "false") + R"(,"storeRevision":)" +
           std::to_string(revision_) + "}";
}

std::pair<int, std::string> store::watch(
    link& at,
    const std::string& prefix,
    std::uint64_t after,
    std::int64_t wait_ms)
{
    const auto deadline = now_ms() + std::min<std::int64_t>(wait_ms, 30000);
    std::unique_lock lock{mutex_};
    while (true) {
        while (!history_.empty() &&
               now_ms() - history_.front().at > history_ms) {
            dropped_ = history_.front().revision;
            history_.pop_front();
        }
        if (after < dropped_ || after > revision_)
            return {410, "{}"};
        std::string events;
        for (const auto& each : history_) {
            if (each.revision <= after)
                continue;
            const auto& json = *each.json[at.second ? 1 : 0];
            if (json.substr(8, prefix.size()) == prefix)
                events += (events.empty() ? "" : ",") + json;
        }
        if (!events.empty() || now_ms() >= deadline || at.how != mode::serving)
            return {
                200,
                R"({"events":[)" + events + R"(],"storeRevision":)" +
                    std::to_string(revision_) + "}"};
        changed_.wait_for(lock, std::chrono::milliseconds{deadline - now_ms()});
    }
}

void store::serve(link& at, const std::shared_ptr<connection>& with)
{
    while (true) {
        const auto request = with->read();
        if (!request)
            return;
        const auto lost = [&] {
            if (at.how == mode::refusing) {
                with->reset();
                return true;
            }
            if (at.how != mode::silent)
                return false;
            // The connection returns nothing further.
            while (with->read()) {
            }
            return true;
        };
        if (lost())
            return;
        if (at.how == mode::busy) {
            if (!with->write(http_answer(503, "{}")))
                return;
            continue;
        }
        const auto target = request->target();
        std::pair<int, std::string> answer{404, "{}"};
        if (target.starts_with("/kv-range"))
            answer = {
                200,
                list(
                    at,
                    parameter(target, "prefix"),
                    parameter(target, "after"))};
        else if (target.starts_with("/kv-watch"))
            answer = watch(
                at,
                parameter(target, "prefix"),
                number(parameter(target, "after")),
                static_cast<std::int64_t>(number(parameter(target, "waitMs"))));
        if (lost())
            return;
        if (!with->write(http_answer(answer.first, answer.second)))
            return;
    }
}

replica::replica(
    store& where,
    std::string id,
    std::string service,
    std::string host,
    std::uint16_t port,
    std::string zone)
    : store_{&where},
      id_{std::move(id)},
      service_{std::move(service)},
      host_{std::move(host)},
      port_{port},
      zone_{std::move(zone)},
      born_{1765000000000 + now_ms()}
{
    on_request = [this](connection& to, const message& request) {
        sleep_ms(work_ms);
        return answer(to, request, "answer of " + id_);
    };
}

replica::~replica()
{
    end();
}

std::string replica::address() const
{
    return host_ + ":" + std::to_string(port_);
}

void replica::add_second_address(const std::string& host)
{
    second_host_ = host;
    heal_second_address();
}

void replica::cut_second_address()
{
    second_accept_->stop();
}

void replica::heal_second_address()
{
    second_accept_ = std::make_unique<listener>(
        second_host_, port_, [this](const auto& with) { serve(with); });
}

void replica::start()
{
    accept_ = std::make_unique<listener>(
        host_, port_, [this](const auto& with) { serve(with); });
    publish("ready");
}

std::string
replica::entry(const std::string& state, const std::string& host) const
{
    return R"({"service":")" + service_ + R"(","address":")" + host + ":" +
           std::to_string(port_) + R"(","zone":")" + zone_ +
           R"(","version":"v1","slots":4,"state":")" + state +
           R"(","warmupLeftMs":0,"sequence":)" + std::to_string(sequence_) +
           R"(,"born":)" + std::to_string(born_) + "}";
}

void replica::publish(const std::string& state)
{
    ++sequence_;
    store_->put(
        "servers/" + id_,
        entry(state, host_),
        second_host_.empty() ? "" : entry(state, second_host_));
}

void replica::drain()
{
    publish("draining");
}

void replica::unpublish()
{
    store_->remove("servers/" + id_);
}

void replica::end()
{
    if (accept_)
        accept_->stop();
    if (second_accept_)
        second_accept_->stop();
}

std::string replica::stamp(const message& request) const
{
    return request.field("Peridotward-Request-Id") + "." + id_;
}

bool replica::answer(
    connection& to, const message& request, std::string body) const
{
    return to.write(
        "HTTP/1.1 200 OK\r\nPeridotward-Request-Id: " +
        request.field("Peridotward-Request-Id") +
        "\r\nPeridotward-Server-Stamp: " + stamp(request) +
        (leaving ? "\r\nServer-Leaving: 1" : "") + "\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
}

void replica::serve(const std::shared_ptr<connection>& with)
{
    while (const auto request = with->read()) {
        if (request->field("Peridotward-Expect-Instance") != id_) {
            if (!with->write(
                    "HTTP/1.1 421 Misdirected Request\r\n"
                    "Peridotward-Request-Id: " +
                    request->field("Peridotward-Request-Id") +
                    "\r\nPeridotward-Not-Executed: 1\r\n"
                    "Peridotward-Instance-Id: " +
                    id_ + "\r\nContent-Length: 0\r\n\r\n"))
                return;
            continue;
        }
        if (!on_request(*with, *request)) {
            with->shut_down();
            return;
        }
    }
}

gateway::gateway(int network, int number, std::uint16_t store_port)
    : host_{"127." + std::to_string(network) + ".1." + std::to_string(number)},
      name_{"front-" + std::to_string(number)},
      store_{
          "127." + std::to_string(network) + ".0." + std::to_string(number) +
          ":" + std::to_string(store_port)},
      network_{network}
{
    settings_ = temporary_folder() + "/" + name_ + ".conf";
    log_ = temporary_folder() + "/" + name_ + ".log";
    // The small deployments name at most three machines as seeds.
    for (int each = 1; each <= 3; ++each)
        seeds.push_back(
            "127." + std::to_string(network) + ".1." + std::to_string(each) +
            ":" + std::to_string(control));
}

gateway::~gateway()
{
    kill();
}

void gateway::start()
{
    std::string listed;
    for (const auto& each : seeds)
        listed += (listed.empty() ? "\"" : ",\"") + each + "\"";
    const auto at = [&](std::uint16_t port) {
        return "\"" + host_ + ":" + std::to_string(port) + "\"";
    };
    std::ofstream{settings_}
        << "{\"instance\":{\"id\":\"" << name_ << "\",\"domain\":\"" << zone
        << "\",\"region\":\"mombasa\",\"memory_mb\":" << memory_mb
        << ",\"cores\":0.25},"
        << "\"listen\":{\"callers\":" << at(front)
        << ",\"ready\":" << at(ready_port) << ",\"directory\":" << at(directory)
        << ",\"control\":" << at(control) << ",\"metrics\":" << at(7755)
        << ",\"peers\":" << at(7740) << "},\"seeds\":[" << listed
        << "],\"store\":\"" << store_
        << "\",\"limits\":{\"repeat_ratio\":0.2,\"repeat_extra\":56,"
           "\"repeat_window_s\":10,\"cold_over\":1.5,\"cold_slack\":5,"
           "\"grace_s\":"
        << grace_s << "}}";
    pid_ = ::fork();
    if (pid_ == 0) {
        // Ends with this process, also if that is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out =
            ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::setenv("PERIDOTWARD_CONFIG", settings_.c_str(), 1);
        const char* program = std::getenv("GATEWAY");
        if (program == nullptr)
            program = "target/platform/peridotward-gateway";
        ::execl(program, program, nullptr);
        ::_exit(127);
    }
    record("%s started, process %d", name_.c_str(), static_cast<int>(pid_));
}

void gateway::signal(int number)
{
    record("%s gets signal %d", name_.c_str(), number);
    if (pid_ > 0)
        ::kill(pid_, number);
}

void gateway::kill()
{
    if (pid_ <= 0)
        return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, &status_, 0);
    pid_ = -1;
}

std::int64_t gateway::resident_mb() const
{
    if (pid_ <= 0)
        return 0;
    std::ifstream statistics{"/proc/" + std::to_string(pid_) + "/statm"};
    std::int64_t total = 0;
    std::int64_t resident = 0;
    statistics >> total >> resident;
    return resident * ::sysconf(_SC_PAGESIZE) >> 20;
}

bool gateway::running()
{
    if (pid_ <= 0)
        return false;
    if (::waitpid(pid_, &status_, WNOHANG) != pid_)
        return true;
    record("%s has ended, status %d", name_.c_str(), status_);
    pid_ = -1;
    return false;
}

bool gateway::ready() const
{
    const auto with = connect_to(host_, ready_port, 500);
    if (!with || !with->write("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"))
        return false;
    const auto answer = with->read(1000, true);
    return answer && answer->status() == 200;
}

std::unique_ptr<connection>
connect_to(const std::string& host, std::uint16_t port, std::int64_t timeout_ms)
{
    const int descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int no_delay = 1;
    ::setsockopt(
        descriptor, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
    const auto address = address_of(host, port);
    auto opened = std::make_unique<connection>(descriptor);
    if (::connect(
            descriptor,
            reinterpret_cast<const sockaddr*>(&address),
            sizeof address) != 0) {
        if (errno != EINPROGRESS)
            return nullptr;
        pollfd waiting{descriptor, POLLOUT, 0};
        if (::poll(&waiting, 1, static_cast<int>(timeout_ms)) != 1)
            return nullptr;
        int failure = 0;
        socklen_t length = sizeof failure;
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &length);
        if (failure != 0)
            return nullptr;
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return opened;
}

std::string new_id()
{
    static std::atomic<std::uint64_t> count{0};
    char text[32];
    std::snprintf(
        text,
        sizeof text,
        "%08x%08llx",
        static_cast<unsigned>(::getpid()),
        static_cast<unsigned long long>(++count));
    return text;
}

std::string desk_configuration(const std::string& kind, std::int64_t timeout_ms)
{
    return R"({"version":2,"routes":[{"name":"r-desk","host":"desk.example",)"
           R"("prefix":"/panel/","kind":")" +
           kind + R"(","timeoutMs":)" + std::to_string(timeout_ms) +
           R"(,"targetLatencyMs":400,"priority":2,"service":"desk",)"
           R"("maxAttempts":2}],"services":[{"name":"desk",)"
           R"("healthPath":"/healthz","maxConnections":110,"protocol":"h1",)"
           R"("tls":false,"warmupS":3.0,"warmupPerS":0.0}],"limits":)"
           R"({"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

std::string request_text(
    const std::string& method,
    const std::string& target,
    const std::string& host,
    const std::string& id,
    std::int64_t deadline_ms,
    const std::string& body)
{
    auto text = method + " " + target + " HTTP/1.1\r\nHost: " + host +
                "\r\nPeridotward-Request-Id: " + id +
                "\r\nPeridotward-Deadline-Ms: " + std::to_string(deadline_ms) +
                "\r\n";
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

bool wait_ready(
    const std::vector<std::unique_ptr<gateway>>& fleet, std::int64_t limit_ms)
{
    const auto deadline = now_ms() + limit_ms;
    while (now_ms() < deadline) {
        const bool all =
            std::all_of(fleet.begin(), fleet.end(), [](const auto& each) {
                return each->ready();
            });
        if (all)
            return true;
        sleep_ms(50);
    }
    return false;
}

const std::string& temporary_folder()
{
    static const std::string made = [] {
        std::string pattern = std::filesystem::temp_directory_path();
        pattern += "/review-3-XXXXXX";
        return std::string{::mkdtemp(pattern.data())};
    }();
    return made;
}

int free_network()
{
    const int first = static_cast<int>(::getpid()) % 100;
    for (int i = 0; i < 100; ++i) {
        const int network = 100 + (first + i) % 100;
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address =
            address_of("127." + std::to_string(network) + ".1.1", 8226);
        const int status = ::bind(
            descriptor,
            reinterpret_cast<const sockaddr*>(&address),
            sizeof address);
        ::close(descriptor);
        if (status == 0)
            return network;
    }
    return 100;
}

void finish(int status)
{
    if (std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(temporary_folder());
    std::fflush(nullptr);
    std::_Exit(status);
}

bool with_trouble()
{
    const char* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view{text} != "0";
}

std::string base64(std::string_view bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                        "abcdefghijklmnopqrstuvwxyz"
                                        "0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group =
                (group << 8U) |
                (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                      : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size()
                        ? digits[(group >> (18 - 6 * j)) & 63U]
                        : '=';
    }
    return text;
}

} // namespace lab
