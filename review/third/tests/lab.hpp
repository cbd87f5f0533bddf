// Stand-ins of the platform's store, of replicas and of clients, and a runner
// of gateway processes, for the cases of the third review.

#pragma once

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace lab {

/// Milliseconds since the start of the program.
std::int64_t now_ms();
void sleep_ms(std::int64_t time);
void sleep_until_ms(std::int64_t time);

/// Opens the record of the run; call once, before anything else.
void open_record(const std::string& path);

/// Writes one line with the time to the record.
void record(const char* format, ...) __attribute__((format(printf, 1, 2)));

struct message
{
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /// \returns The value of a field, or an empty text.
    [[nodiscard]] std::string field(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    [[nodiscard]] int status() const;
};

/// One connection. Reading and writing block.
class connection
{
public:
    explicit connection(int descriptor) : descriptor_{descriptor} {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// \returns The next message, or nothing at the end of the connection, or
    /// when `timeout_ms` has passed.
    /// \param answer Whether an answer is read, which may end with the
    /// connection.
    std::optional<message>
    read(std::int64_t timeout_ms = -1, bool answer = false);
    /// Reads the head of a message only; `read_body` reads the rest.
    std::optional<message> read_head(std::int64_t timeout_ms = -1);
    bool write(std::string_view bytes);
    void shut_down();
    /// Closes the connection with a reset.
    void reset();
    [[nodiscard]] int descriptor() const noexcept { return descriptor_; }
    /// Why `read` returned nothing.
    enum class end
    {
        none,
        timed_out,
        closed,
        was_reset,
    };
    end ended = end::none;

private:
    bool fill(std::int64_t deadline);

    int descriptor_;
    std::string input_;
};

/// Accepts connections at an address, each on a thread of its own.
class listener
{
public:
    listener(
        const std::string& host,
        std::uint16_t port,
        std::function<void(std::shared_ptr<connection>)> serve);
    ~listener();
    /// Closes the listening socket and resets all connections.
    void stop();

private:
    std::function<void(std::shared_ptr<connection>)> serve_;
    int descriptor_ = -1;
    std::mutex mutex_;
    std::vector<std::weak_ptr<connection>> open_;
    std::thread thread_;
};

/// The platform's store, with one address for each gateway.
class store
{
public:
    enum class mode
    {
        serving,
        silent,  ///< Requests get no answer.
        busy,    ///< Requests get 503.
        refusing ///< Connections are reset.
    };

    /// Adds an address; \returns its number.
    /// \param second Whether its readers get the second value of each item.
    std::size_t
    add_link(const std::string& host, std::uint16_t port, bool second = false);
    void set_mode(std::size_t link, mode how);

    /// \returns The revision of the change: the acknowledgement.
    /// \param second_value In place of `value` at some links, if not empty.
    std::uint64_t
    put(const std::string& key,
        const std::string& value,
        const std::string& second_value = {});
    void remove(const std::string& key);

    /// Time for which changes are kept.
    std::int64_t history_ms = 20000;

private:
    struct event
    {
        std::int64_t at;
        std::uint64_t revision;
        std::shared_ptr<const std::string> json[2];
    };
    struct item
    {
        std::uint64_t revision;
        std::shared_ptr<const std::string> json[2];
    };
    struct link
    {
        std::atomic<mode> how{mode::serving};
        bool second = false;
        std::unique_ptr<listener> accept;
    };

    void serve(link& at, const std::shared_ptr<connection>& with);
    std::string
    list(const link& at, const std::string& prefix, const std::string& after);
    /// \returns Status and body.
    std::pair<int, std::string> watch(
        link& at,
        const std::string& prefix,
        std::uint64_t after,
        std::int64_t wait_ms);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::deque<event> history_;
    std::uint64_t revision_ = 10;
    std::uint64_t dropped_ = 0;
    std::vector<std::unique_ptr<link>> links_;
};

/// A replica, which registers itself in the store.
class replica
{
public:
    replica(
        store& where,
        std::string id,
        std::string service,
        std::string host,
        std::uint16_t port,
        std::string zone);
    ~replica();

    void start();
    /// Listens at a second address, which some links of the store publish in
    /// place of the first; called before `start`.
    void add_second_address(const std::string& host);
    /// Resets the connections to the second address and refuses new ones.
    void cut_second_address();
    void heal_second_address();
    /// Writes the entry that says that the replica drains.
    void drain();
    /// Removes the entry.
    void unpublish();
    /// Ends: resets all connections and stops listening.
    void end();

    [[nodiscard]] const std::string& id() const noexcept { return id_; }
    [[nodiscard]] std::string address() const;

    /// Answers one request; false closes the connection. The default answers
    /// with the stamp after `work_ms`.
    std::function<bool(connection&, const message&)> on_request;
    std::int64_t work_ms = 5;

    /// \returns A stamp of this replica for a request.
    [[nodiscard]] std::string stamp(const message& request) const;
    /// Answers with status 200 and a stamp.
    bool answer(connection& to, const message& request, std::string body) const;
    /// Whether answers say that the replica is leaving.
    std::atomic<bool> leaving{false};

private:
    void publish(const std::string& state);
    [[nodiscard]] std::string
    entry(const std::string& state, const std::string& host) const;
    void serve(const std::shared_ptr<connection>& with);

    store* store_;
    std::string id_;
    std::string service_;
    std::string host_;
    std::string second_host_;
    std::uint16_t port_;
    std::string zone_;
    std::int64_t born_;
    int sequence_ = 0;
    std::unique_ptr<listener> accept_;
    std::unique_ptr<listener> second_accept_;
};

/// One process of the deploy file's role.
class gateway
{
public:
    /// \param number Third byte of the loopback address is the network.
    gateway(int network, int number, std::uint16_t store_port);
    ~gateway();
    void start();
    void signal(int number);
    /// Kills the process and waits for its end.
    void kill();
    /// \returns The resident size of the process in MiB; 0 if it doesn't run.
    [[nodiscard]] std::int64_t resident_mb() const;
    /// \returns Whether the process runs; records an end by itself.
    bool running();
    [[nodiscard]] std::string host() const { return host_; }
    [[nodiscard]] pid_t pid() const noexcept { return pid_; }
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::string log_path() const { return log_; }
    [[nodiscard]] int exit_status() const noexcept { return status_; }

    static constexpr std::uint16_t front = 8226;
    static constexpr std::uint16_t ready_port = 8227;
    static constexpr std::uint16_t control = 8224;
    static constexpr std::uint16_t directory = 8225;
    static constexpr int grace_s = 6;
    static constexpr int memory_mb = 260;

    std::vector<std::string> seeds;
    std::string zone = "likoni";

private:
    std::string host_;
    std::string name_;
    std::string store_;
    std::string settings_;
    std::string log_;
    int network_;
    pid_t pid_ = -1;
    int status_ = 0;
};

/// Opens a connection; null when it fails within the timeout.
std::unique_ptr<connection> connect_to(
    const std::string& host, std::uint16_t port, std::int64_t timeout_ms);

std::string new_id();

/// \returns A configuration, version 2, with one route for host `desk.example`
/// below `/panel/`, which the service `desk` serves.
std::string
desk_configuration(const std::string& kind, std::int64_t timeout_ms);

/// \returns A request of a client.
std::string request_text(
    const std::string& method,
    const std::string& target,
    const std::string& host,
    const std::string& id,
    std::int64_t deadline_ms,
    const std::string& body = {});

/// \returns Whether the instances have become ready within the time.
bool wait_ready(
    const std::vector<std::unique_ptr<gateway>>& fleet, std::int64_t limit_ms);

/// Folder for settings and logs, removed by `finish`.
const std::string& temporary_folder();

/// \returns A number N for which the addresses 127.N.1.1 and so on are free.
int free_network();

/// Removes the temporary folder and ends this process; its threads may still
/// run. All gateways must have been killed.
[[noreturn]] void finish(int status);

/// \returns Whether the run has the disruption: `TROUBLE` isn't 0.
bool with_trouble();

std::string base64(std::string_view bytes);

} // namespace lab
