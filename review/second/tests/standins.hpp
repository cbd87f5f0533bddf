#pragma once

// Small stand-ins of the platform's store, of replicas and of clients, and the
// part of the platform that starts processes. Blocking sockets, one thread a
// connection, the real clock, loopback addresses only.

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

void pause_for(milliseconds time);

/// Writes `record.txt`: one line for each event, with milliseconds since the
/// start.
class recorder
{
public:
    explicit recorder(const std::string& path);
    ~recorder();
    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;

    void line(const std::string& text);
    /// \returns Milliseconds since the start.
    [[nodiscard]] std::int64_t now() const;

private:
    std::mutex mutex_;
    std::FILE* file_;
    steady::time_point start_ = steady::now();
};

/// One HTTP/1.1 message with a length.
struct message
{
    std::string start; ///< Request line or status line.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string& name) const;
    [[nodiscard]] int status() const;
    [[nodiscard]] std::string target() const;
};

/// A connected socket and the bytes that were received after a message.
class connection
{
public:
    explicit connection(int descriptor) : descriptor_{descriptor} {}
    connection(connection&& other) noexcept
        : descriptor_{std::exchange(other.descriptor_, -1)},
          input_{std::move(other.input_)}
    {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection& operator=(connection&&) = delete;

    [[nodiscard]] int descriptor() const noexcept { return descriptor_; }
    /// \returns Whether all bytes were taken by the kernel in time.
    bool send(const std::string& bytes, steady::time_point until);
    /// \returns A whole message, or nothing at the end of the connection or the
    /// time.
    std::optional<message> read(steady::time_point until);
    /// \returns The bytes read so far of an incomplete message.
    [[nodiscard]] std::size_t buffered() const noexcept
    {
        return input_.size();
    }
    void close();

private:
    /// \returns Whether bytes arrived.
    bool receive(steady::time_point until);

    int descriptor_;
    std::string input_;
};

/// \param small_windows Whether the connection has the segment size and the
/// receive buffer of an ordinary network; a loopback connection takes megabytes
/// otherwise.
/// \returns A connection, or nothing if it isn't made in time.
[[nodiscard]] std::optional<connection> connect_to(
    const std::string& host,
    std::uint16_t port,
    milliseconds timeout,
    bool small_windows = false);

/// A listener with one thread for each connection.
class server
{
public:
    using handler = std::function<void(connection&)>;

    /// \throws std::runtime_error when the address is in use.
    server(const std::string& host, std::uint16_t port, handler on_connection);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// A dark server answers nothing, not even an attempt to connect.
    void set_dark(bool dark);
    [[nodiscard]] bool dark() const noexcept { return dark_; }
    /// Waits while the server is dark.
    void wait_while_dark() const;
    [[nodiscard]] bool stopped() const noexcept { return stopped_; }

private:
    void run();

    std::string host_;
    std::uint16_t port_;
    handler handler_;
    int listener_;
    std::atomic<bool> dark_ = false;
    std::atomic<bool> stopped_ = false;
    std::vector<int> fillers_; ///< Fill the queue of a dark listener.
    std::mutex mutex_;         ///< Guards the members below.
    std::set<int> open_;
    int threads_ = 0;
    std::condition_variable idle_;
    std::thread thread_;
};

/// The platform's store: listing and watching of keys.
class store
{
public:
    store(const std::string& host, std::uint16_t port);

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };

    void serve(connection& caller);
    [[nodiscard]] std::string list(const std::string& after);
    [[nodiscard]] std::string watch(std::uint64_t after, milliseconds wait);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 100;
    std::map<std::string, item> items_;
    /// JSON of each change by its revision.
    std::map<std::uint64_t, std::string> changes_;
    server server_;
};

/// A sound replica.
class replica
{
public:
    struct identity
    {
        std::string id;
        std::string service;
        std::string zone;
        std::string host;
        std::uint16_t port = 0;
        unsigned slots = 4;
    };

    replica(identity self, recorder& record);

    [[nodiscard]] std::string entry(bool draining = false) const;
    [[nodiscard]] const identity& self() const noexcept { return self_; }
    void set_dark(bool dark) { server_.set_dark(dark); }
    /// \returns Whether the replica has run the request with this id.
    [[nodiscard]] bool has_run(const std::string& id);

    std::atomic<int> work_ms = 10;
    /// Size of the body of an answer that isn't a part of a search.
    std::atomic<std::size_t> answer_bytes = 64;
    /// Whether answers hold records of 16 bytes.
    std::atomic<bool> holds_records = false;
    std::atomic<bool> writes_record = true;

private:
    void serve(connection& caller);

    identity self_;
    recorder* record_;
    std::atomic<int> running_ = 0;
    std::mutex mutex_; ///< Guards `ran_`.
    std::set<std::string> ran_;
    server server_;
};

/// A route or service of the configuration, as JSON text.
[[nodiscard]] std::string route_json(
    const std::string& name,
    const std::string& prefix,
    const std::string& kind,
    int timeout_ms,
    const std::string& destination);
[[nodiscard]] std::string
service_json(const std::string& name, unsigned max_connections);
[[nodiscard]] std::string config_json(
    std::uint64_t version,
    const std::vector<std::string>& routes,
    const std::vector<std::string>& services);

/// Starts instances with the command of the deploy file and restarts those that
/// end.
class platform
{
public:
    /// Delay after which a process that ended is started again.
    static constexpr milliseconds restart_delay{300};

    struct options
    {
        std::string folder; ///< For settings and logs.
        int instances = 2;
        std::string store;      ///< Address.
        unsigned memory_mb = 0; ///< Beyond it a process is killed; 0: no limit.
    };

    platform(options chosen, recorder& record);
    ~platform();
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;

    [[nodiscard]] std::string host(int instance) const;
    [[nodiscard]] static std::uint16_t callers_port() noexcept { return 8226; }
    /// \returns Whether all instances answer that they are ready in time.
    [[nodiscard]] bool wait_until_ready(milliseconds timeout);
    [[nodiscard]] bool is_ready(int instance) const;
    /// \returns How often the process of an instance ended without a signal of
    /// this platform, or beyond its memory.
    [[nodiscard]] int own_ends(int instance);
    /// \returns The largest memory of an instance's processes, in MB.
    [[nodiscard]] unsigned peak_mb(int instance);
    void signal(int instance, int number);

private:
    struct process
    {
        pid_t id = 0;
        bool ending = false;
        bool over_limit = false;
        int own_ends = 0;
        unsigned peak_mb = 0;
        steady::time_point start_at;
    };

    [[nodiscard]] std::string write_settings(int instance) const;
    void start(int instance);
    void watch();

    options options_;
    recorder* record_;
    std::mutex mutex_; ///< Guards `processes_`.
    std::vector<process> processes_;
    std::atomic<bool> stopped_ = false;
    std::thread watcher_;
};

/// Addresses of one run, which differ between runs.
struct run_addresses
{
    run_addresses();

    [[nodiscard]] std::string instance(int number) const;
    [[nodiscard]] std::string others() const;

    int first = 0;
    int second = 0;
};

extern const run_addresses addresses;

/// A request of a client and how it ended.
struct attempt
{
    std::string id;
    int instance = 0;
    std::int64_t sent = 0;
    std::int64_t ended = 0;
    int status = 0; ///< 0: no whole answer.
    std::string body;
    std::string missing;
};

/// \returns The bytes of a request.
[[nodiscard]] std::string request_text(
    const std::string& method,
    const std::string& target,
    const std::string& id,
    int deadline_ms,
    const std::string& body = "");

/// Sends one request and waits for its answer.
[[nodiscard]] attempt
ask(connection& to,
    recorder& record,
    int instance,
    const std::string& id,
    const std::string& text,
    milliseconds wait);

/// \returns Whether the variable TROUBLE asks for a run with the disruption.
[[nodiscard]] bool with_trouble();

} // namespace review
