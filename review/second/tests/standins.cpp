#include "standins.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

constexpr std::size_t read_bytes = 65536;
constexpr milliseconds server_step{200};

sockaddr_in address_of(const std::string& host, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

bool same_name(const std::string& a, const std::string& b)
{
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return std::tolower(static_cast<unsigned char>(x)) ==
                      std::tolower(static_cast<unsigned char>(y));
           });
}

std::string base64(const std::string& text)
{
    constexpr const char* letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        const auto count = std::min<std::size_t>(3, text.size() - i);
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8U |
                   (k < count ? static_cast<unsigned char>(text[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += k <= count ? letters[bits >> (18 - 6 * k) & 63U] : '=';
    }
    return out;
}

std::string unescape(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
            out += text[i];
    }
    return out;
}

std::string parameter(const std::string& target, const std::string& name)
{
    const auto query = target.find('?');
    if (query == std::string::npos)
        return {};
    std::istringstream parts{target.substr(query + 1)};
    for (std::string part; std::getline(parts, part, '&');) {
        if (part.starts_with(name + "="))
            return unescape(part.substr(name.size() + 1));
    }
    return {};
}

std::string answer_text(
    int status, const std::string& extra_fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + extra_fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string quoted(const std::string& text)
{
    return "\"" + text + "\"";
}

} // namespace

const run_addresses addresses;

run_addresses::run_addresses()
    : first{20 + static_cast<int>(::getpid() % 100)},
      second{static_cast<int>(::getpid() / 100 % 200)}
{}

std::string run_addresses::instance(int number) const
{
    return "127." + std::to_string(first) + "." + std::to_string(second) + "." +
           std::to_string(10 + number);
}

std::string run_addresses::others() const
{
    return "127." + std::to_string(first) + "." + std::to_string(second) + ".5";
}

bool with_trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string{text} != "0";
}

void pause_for(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

recorder::recorder(const std::string& path)
    : file_{std::fopen(path.c_str(), "w")}
{
    if (file_ == nullptr)
        throw std::runtime_error{"cannot write " + path};
}

recorder::~recorder()
{
    std::fclose(file_);
}

std::int64_t recorder::now() const
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - start_)
        .count();
}

void recorder::line(const std::string& text)
{
    const auto time = now();
    const std::lock_guard lock{mutex_};
    std::fprintf(
        file_, "%7lld %s\n", static_cast<long long>(time), text.c_str());
    std::fflush(file_);
}

std::string message::field(const std::string& name) const
{
    for (const auto& [key, value] : fields) {
        if (same_name(key, name))
            return value;
    }
    return {};
}

int message::status() const
{
    return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
}

std::string message::target() const
{
    const auto begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
}

connection::~connection()
{
    close();
}

void connection::close()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
    descriptor_ = -1;
}

bool connection::send(const std::string& bytes, steady::time_point until)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(
            descriptor_,
            bytes.data() + sent,
            bytes.size() - sent,
            MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        if (count < 0 && errno != EAGAIN && errno != EINTR)
            return false;
        const auto left =
            std::chrono::duration_cast<milliseconds>(until - steady::now());
        if (left <= milliseconds{0})
            return false;
        pollfd wait{descriptor_, POLLOUT, 0};
        ::poll(&wait, 1, static_cast<int>(left.count()));
    }
    return true;
}

bool connection::receive(steady::time_point until)
{
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - steady::now());
    pollfd wait{descriptor_, POLLIN, 0};
    if (left <= milliseconds{0} ||
        ::poll(&wait, 1, static_cast<int>(left.count())) <= 0)
        return false;
    std::string buffer(read_bytes, '\0');
    const auto count = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
        close();
        return false;
    }
    input_.append(buffer, 0, static_cast<std::size_t>(count));
    return true;
}

std::optional<message> connection::read(steady::time_point until)
{
    if (descriptor_ < 0)
        return std::nullopt;
    std::size_t head_end = 0;
    while ((head_end = input_.find("\r\n\r\n")) == std::string::npos) {
        if (!receive(until))
            return std::nullopt;
    }
    message found;
    std::istringstream head{input_.substr(0, head_end)};
    std::getline(head, found.start);
    if (!found.start.empty() && found.start.back() == '\r')
        found.start.pop_back();
    for (std::string line; std::getline(head, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        found.fields.emplace_back(line.substr(0, colon), value);
    }
    const auto length_text = found.field("Content-Length");
    const std::size_t length =
        length_text.empty() ? 0 : std::stoull(length_text);
    while (input_.size() < head_end + 4 + length) {
        if (!receive(until))
            return std::nullopt;
    }
    found.body = input_.substr(head_end + 4, length);
    input_.erase(0, head_end + 4 + length);
    return found;
}

std::optional<connection> connect_to(
    const std::string& host,
    std::uint16_t port,
    milliseconds timeout,
    bool small_windows)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return std::nullopt;
    connection made{descriptor};
    if (small_windows) {
        constexpr int receive_buffer = 32768;
        constexpr int segment_bytes = 1400;
        ::setsockopt(
            descriptor,
            SOL_SOCKET,
            SO_RCVBUF,
            &receive_buffer,
            sizeof receive_buffer);
        ::setsockopt(
            descriptor,
            IPPROTO_TCP,
            TCP_MAXSEG,
            &segment_bytes,
            sizeof segment_bytes);
    }
    const int one = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    const int flags = ::fcntl(descriptor, F_GETFL);
    ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    const auto address = address_of(host, port);
    if (::connect(
            descriptor,
            reinterpret_cast<const sockaddr*>(&address),
            sizeof address) != 0) {
        pollfd wait{descriptor, POLLOUT, 0};
        if (errno != EINPROGRESS ||
            ::poll(&wait, 1, static_cast<int>(timeout.count())) <= 0)
            return std::nullopt;
        int error = 0;
        socklen_t length = sizeof error;
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0)
            return std::nullopt;
    }
    ::fcntl(descriptor, F_SETFL, flags);
    return made;
}

server::server(
    const std::string& host, std::uint16_t port, handler on_connection)
    : host_{host},
      port_{port},
      handler_{std::move(on_connection)},
      listener_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
{
    const int one = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const auto address = address_of(host, port);
    if (::bind(
            listener_,
            reinterpret_cast<const sockaddr*>(&address),
            sizeof address) != 0 ||
        ::listen(listener_, 512) != 0)
        throw std::runtime_error{
            "cannot listen on " + host + ":" + std::to_string(port)};
    thread_ = std::thread{[this] { run(); }};
}

server::~server()
{
    stopped_ = true;
    set_dark(false);
    thread_.join();
    ::close(listener_);
    std::unique_lock lock{mutex_};
    for (const int descriptor : open_)
        ::shutdown(descriptor, SHUT_RDWR);
    idle_.wait_for(
        lock, std::chrono::seconds{10}, [&] { return threads_ == 0; });
}

void server::set_dark(bool dark)
{
    if (dark_ == dark)
        return;
    dark_ = dark;
    if (!dark) {
        for (const int filler : std::exchange(fillers_, {}))
            ::close(filler);
        ::listen(listener_, 512);
        return;
    }
    // The accept loop ends its present wait; then the queue of the listener is
    // filled, so that the kernel drops further attempts to connect.
    pause_for(server_step + milliseconds{20});
    ::listen(listener_, 0);
    for (int i = 0; i < 2; ++i) {
        const int filler =
            ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const auto address = address_of(host_, port_);
        (void)::connect(
            filler,
            reinterpret_cast<const sockaddr*>(&address),
            sizeof address);
        fillers_.push_back(filler);
    }
}

void server::wait_while_dark() const
{
    while (dark_ && !stopped_)
        pause_for(milliseconds{5});
}

void server::run()
{
    while (!stopped_) {
        if (dark_) {
            pause_for(milliseconds{5});
            continue;
        }
        pollfd wait{listener_, POLLIN, 0};
        if (::poll(&wait, 1, static_cast<int>(server_step.count()) / 2) <= 0 ||
            dark_)
            continue;
        const int accepted =
            ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            continue;
        const int one = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        const std::lock_guard lock{mutex_};
        open_.insert(accepted);
        ++threads_;
        std::thread{[this, accepted] {
            {
                connection caller{accepted};
                handler_(caller);
                const std::lock_guard inner{mutex_};
                open_.erase(accepted);
            }
            const std::lock_guard inner{mutex_};
            --threads_;
            idle_.notify_all();
        }}.detach();
    }
}

store::store(const std::string& host, std::uint16_t port)
    : server_{host, port, [this](connection& caller) { serve(caller); }}
{}

void store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock{mutex_};
    auto& kept = items_[key];
    kept.value = value;
    kept.revision = ++revision_;
    if (kept.created == 0)
        kept.created = revision_;
    changes_[revision_] = R"({"key":)" + quoted(key) + R"(,"value":)" +
                          quoted(base64(value)) + R"(,"revision":)" +
                          std::to_string(revision_) + R"(,"created":)" +
                          std::to_string(kept.created) + R"(,"lease":0})";
    changed_.notify_all();
}

void store::remove(const std::string& key)
{
    const std::lock_guard lock{mutex_};
    items_.erase(key);
    ++revision_;
    changes_[revision_] = R"({"key":)" + quoted(key) + R"(,"revision":)" +
                          std::to_string(revision_) + R"(,"removed":true})";
    changed_.notify_all();
}

std::string store::list(const std::string& after)
{
    constexpr std::size_t page_size = 500;
    const std::lock_guard lock{mutex_};
    std::string text = R"({"items":[)";
    std::size_t count = 0;
    bool more = false;
    for (auto found = after.empty() ? items_.begin()
                                    : items_.upper_bound(after);
         found != items_.end();
         ++found) {
        if (count == page_size) {
            more = true;
            break;
        }
        text += count++ == 0 ? "" : ",";
        text += R"({"key":)" + quoted(found->first) + R"(,"value":)" +
                quoted(base64(found->second.value)) + R"(,"revision":)" +
                std::to_string(found->second.revision) + R"(,"created":)" +
                std::to_string(found->second.created) + R"(,"lease":0})";
    }
    return text + R"(],"hasMore":)" + (more ? "true" : "false") +
           R"(,"storeRevision":)" + std::to_string(revision_) + "}";
}

std::string store::watch(std::uint64_t after, milliseconds wait)
{
    std::unique_lock lock{mutex_};
    changed_.wait_for(lock, wait, [&] { return revision_ > after; });
    std::string text = R"({"events":[)";
    bool first = true;
    for (auto change = changes_.upper_bound(after); change != changes_.end();
         ++change)
        text += (std::exchange(first, false) ? "" : ",") + change->second;
    return text + R"(],"storeRevision":)" + std::to_string(revision_) + "}";
}

void store::serve(connection& caller)
{
    while (!server_.stopped()) {
        const auto asked = caller.read(steady::now() + std::chrono::hours{1});
        if (!asked)
            return;
        const auto target = asked->target();
        std::string body;
        if (target.starts_with("/kv-range"))
            body = list(parameter(target, "after"));
        else
            body = watch(
                std::stoull("0" + parameter(target, "after")),
                milliseconds{std::stoll("0" + parameter(target, "waitMs"))});
        const auto until = steady::now() + std::chrono::seconds{5};
        if (!caller.send(
                answer_text(200, "Content-Type: application/json\r\n", body),
                until))
            return;
    }
}

replica::replica(identity self, recorder& record)
    : self_{std::move(self)},
      record_{&record},
      server_{
          self_.host, self_.port, [this](connection& caller) { serve(caller); }}
{}

std::string replica::entry(bool draining) const
{
    return R"({"service":)" + quoted(self_.service) + R"(,"address":)" +
           quoted(self_.host + ":" + std::to_string(self_.port)) +
           R"(,"zone":)" + quoted(self_.zone) + R"(,"version":"v1","slots":)" +
           std::to_string(self_.slots) + R"(,"state":)" +
           quoted(draining ? "draining" : "ready") +
           R"(,"warmupLeftMs":0,"sequence":1})";
}

bool replica::has_run(const std::string& id)
{
    const std::lock_guard lock{mutex_};
    return ran_.contains(id);
}

void replica::serve(connection& caller)
{
    while (!server_.stopped()) {
        const auto asked = caller.read(steady::now() + std::chrono::hours{1});
        server_.wait_while_dark();
        if (!asked)
            return;
        const auto id = asked->field("Peridotward-Request-Id");
        const auto until = steady::now() + std::chrono::seconds{30};
        const auto expected = asked->field("Peridotward-Expect-Instance");
        if (!expected.empty() && expected != self_.id) {
            if (!caller.send(
                    answer_text(
                        421,
                        "Peridotward-Request-Id: " + id +
                            "\r\nPeridotward-Instance-Id: " + self_.id + "\r\n",
                        ""),
                    until))
                return;
            continue;
        }
        if (writes_record) {
            record_->line("run " + id + " at " + self_.id);
            const std::lock_guard lock{mutex_};
            ran_.insert(id);
        }
        const int running = ++running_;
        pause_for(milliseconds{work_ms});
        --running_;
        server_.wait_while_dark();
        std::string body;
        if (holds_records) {
            for (int i = 0; i < 4; ++i)
                body += (id + "-" + self_.service + std::to_string(i) +
                         "................")
                            .substr(0, 16);
        }
        else
            body.assign(answer_bytes, 'x');
        if (!caller.send(
                answer_text(
                    200,
                    "Peridotward-Request-Id: " + id +
                        "\r\nPeridotward-Server-Stamp: " + self_.id + "." + id +
                        "\r\nPeridotward-Server-Load: " +
                        std::to_string(std::min<int>(
                            running, static_cast<int>(self_.slots))) +
                        ",0," + std::to_string(self_.slots) + "\r\n",
                    body),
                until))
            return;
    }
}

std::string route_json(
    const std::string& name,
    const std::string& prefix,
    const std::string& kind,
    int timeout_ms,
    const std::string& destination)
{
    return R"({"name":)" + quoted(name) +
           R"(,"host":"search.example","prefix":)" + quoted(prefix) +
           R"(,"kind":)" + quoted(kind) + R"(,"timeoutMs":)" +
           std::to_string(timeout_ms) +
           R"(,"targetLatencyMs":150,"priority":1,"maxAttempts":2,)" +
           destination + "}";
}

std::string service_json(const std::string& name, unsigned max_connections)
{
    return R"({"name":)" + quoted(name) +
           R"(,"healthPath":"/healthz","maxConnections":)" +
           std::to_string(max_connections) +
           R"(,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":0.0})";
}

std::string config_json(
    std::uint64_t version,
    const std::vector<std::string>& routes,
    const std::vector<std::string>& services)
{
    const auto joined = [](const std::vector<std::string>& parts) {
        std::string text;
        for (const auto& part : parts)
            text += (text.empty() ? "" : ",") + part;
        return text;
    };
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           joined(routes) + R"(],"services":[)" + joined(services) +
           R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

platform::platform(options chosen, recorder& record)
    : options_{std::move(chosen)},
      record_{&record},
      processes_(static_cast<std::size_t>(options_.instances))
{
    for (int i = 0; i < options_.instances; ++i)
        start(i);
    watcher_ = std::thread{[this] { watch(); }};
}

platform::~platform()
{
    stopped_ = true;
    watcher_.join();
    for (auto& each : processes_) {
        if (each.id <= 0)
            continue;
        ::kill(each.id, SIGKILL);
        ::waitpid(each.id, nullptr, 0);
    }
}

std::string platform::host(int instance) const
{
    return addresses.instance(instance);
}

std::string platform::write_settings(int instance) const
{
    const auto path =
        options_.folder + "/settings-" + std::to_string(instance) + ".jsonc";
    const auto own = host(instance);
    const auto at = [&](int port) {
        return quoted(own + ":" + std::to_string(port));
    };
    std::string seeds;
    for (int i = 0; i < std::min(options_.instances, 3); ++i)
        seeds += (i == 0 ? "" : ",") + quoted(host(i) + ":8224");
    std::ofstream{path}
        << R"({"instance":{"id":"front-)" << instance << R"(","domain":"zone-)"
        << instance % 2
        << R"(","region":"region","cores":0.25},"listen":{"callers":)"
        << at(callers_port()) << R"(,"ready":)" << at(8227)
        << R"(,"directory":)" << at(8225) << R"(,"control":)" << at(8224)
        << R"(,"metrics":)" << at(7755) << R"(,"peers":)" << at(7740)
        << R"(},"seeds":[)" << seeds << R"(],"store":)"
        << quoted(options_.store)
        << R"(,"limits":{"repeat_ratio":0.2,"repeat_extra":56,)"
        << R"("repeat_window_s":10,"cold_over":1.5,"cold_slack":5,)"
        << R"("grace_s":6}})"
        << "\n";
    return path;
}

void platform::start(int instance)
{
    const auto settings = write_settings(instance);
    const auto log =
        options_.folder + "/log-" + std::to_string(instance) + ".txt";
    const auto variable = "PERIDOTWARD_CONFIG=" + settings;
    const pid_t child = ::fork();
    if (child < 0)
        throw std::runtime_error{"cannot start a process"};
    if (child == 0) {
        const int out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        const char* program = "target/platform/peridotward-gateway";
        if (const char* other = std::getenv("REVIEW_GATEWAY"))
            program = other;
        char* const arguments[] = {const_cast<char*>(program), nullptr};
        char* const variables[] = {
            const_cast<char*>(variable.c_str()), nullptr};
        ::execve(program, arguments, variables);
        ::_exit(127);
    }
    const std::lock_guard lock{mutex_};
    auto& started = processes_[static_cast<std::size_t>(instance)];
    started.id = child;
    started.ending = false;
    started.over_limit = false;
    record_->line(
        "front-" + std::to_string(instance) + " starts as process " +
        std::to_string(child));
}

void platform::watch()
{
    while (!stopped_) {
        pause_for(milliseconds{10});
        for (int i = 0; i < options_.instances; ++i) {
            bool due = false;
            {
                const std::lock_guard lock{mutex_};
                auto& each = processes_[static_cast<std::size_t>(i)];
                if (each.id > 0) {
                    std::ifstream statm{
                        "/proc/" + std::to_string(each.id) + "/statm"};
                    std::uint64_t size = 0;
                    std::uint64_t resident = 0;
                    statm >> size >> resident;
                    const auto megabytes = static_cast<unsigned>(
                        resident * static_cast<std::uint64_t>(
                                       ::sysconf(_SC_PAGESIZE)) >>
                        20U);
                    each.peak_mb = std::max(each.peak_mb, megabytes);
                    if (options_.memory_mb != 0 &&
                        megabytes > options_.memory_mb && !each.over_limit) {
                        each.over_limit = true;
                        record_->line(
                            "front-" + std::to_string(i) + " uses " +
                            std::to_string(megabytes) +
                            " MB, over its limit, and is killed");
                        ::kill(each.id, SIGKILL);
                    }
                    int status = 0;
                    if (::waitpid(each.id, &status, WNOHANG) == each.id) {
                        const bool own = !each.ending || each.over_limit;
                        each.own_ends += own ? 1 : 0;
                        record_->line(
                            "front-" + std::to_string(i) + " ended, " +
                            (WIFSIGNALED(status)
                                 ? "signal " + std::to_string(WTERMSIG(status))
                                 : "status " +
                                       std::to_string(WEXITSTATUS(status))) +
                            (own ? ", by itself" : ""));
                        each.id = 0;
                        each.start_at = steady::now() + restart_delay;
                    }
                }
                due = each.id == 0 && steady::now() >= each.start_at;
            }
            if (due && !stopped_)
                start(i);
        }
    }
}

bool platform::is_ready(int instance) const
{
    auto asked = connect_to(host(instance), 8227, milliseconds{300});
    if (!asked)
        return false;
    const auto until = steady::now() + milliseconds{500};
    if (!asked->send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n", until))
        return false;
    const auto answer = asked->read(until);
    return answer && answer->status() == 200;
}

bool platform::wait_until_ready(milliseconds timeout)
{
    const auto until = steady::now() + timeout;
    int ready = 0;
    while (ready < options_.instances && steady::now() < until) {
        if (is_ready(ready))
            ++ready;
        else
            pause_for(milliseconds{50});
    }
    return ready == options_.instances;
}

int platform::own_ends(int instance)
{
    const std::lock_guard lock{mutex_};
    return processes_[static_cast<std::size_t>(instance)].own_ends;
}

unsigned platform::peak_mb(int instance)
{
    const std::lock_guard lock{mutex_};
    return processes_[static_cast<std::size_t>(instance)].peak_mb;
}

void platform::signal(int instance, int number)
{
    const std::lock_guard lock{mutex_};
    auto& each = processes_[static_cast<std::size_t>(instance)];
    if (each.id <= 0)
        return;
    each.ending = each.ending || number == SIGKILL || number == SIGTERM;
    record_->line(
        "front-" + std::to_string(instance) + " gets signal " +
        std::to_string(number));
    ::kill(each.id, number);
}

std::string request_text(
    const std::string& method,
    const std::string& target,
    const std::string& id,
    int deadline_ms,
    const std::string& body)
{
    std::string text =
        method + " " + target +
        " HTTP/1.1\r\nHost: search.example\r\n"
        "Peridotward-Request-Id: " +
        id + "\r\nPeridotward-Deadline-Ms: " + std::to_string(deadline_ms) +
        "\r\n";
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

attempt
ask(connection& to,
    recorder& record,
    int instance,
    const std::string& id,
    const std::string& text,
    milliseconds wait)
{
    attempt made;
    made.id = id;
    made.instance = instance;
    made.sent = record.now();
    record.line("send " + id + " to front-" + std::to_string(instance));
    const auto until = steady::now() + wait;
    if (to.send(text, until)) {
        if (const auto answer = to.read(until)) {
            made.status = answer->status();
            made.body = answer->body;
            made.missing = answer->field("Peridotward-Missing-Shards");
        }
    }
    made.ended = record.now();
    record.line(
        "end " + id + " at front-" + std::to_string(instance) + " " +
        (made.status == 0 ? "no answer" : std::to_string(made.status)) +
        " after " + std::to_string(made.ended - made.sent) + " ms");
    return made;
}

} // namespace review
