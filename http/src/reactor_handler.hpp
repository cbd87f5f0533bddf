#pragma once

#include <peridotward/http/http_server.hpp>

#include <pistache/http.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace peridotward {

/// Thread-safe queue of responses for the reactor that owns their connections.
class response_mailbox
{
public:
    using posted_response = std::pair<std::uint64_t, http_response>;

    void post(std::uint64_t sequence, http_response response);
    void take_all(std::vector<posted_response>& out);

private:
    std::mutex mutex_;
    std::vector<posted_response> posted_;
};

/// State that the reactors of one server share.
struct server_state
{
    http_server::request_handler on_request;
    http_server::disconnect_handler on_disconnect;
    std::mutex mutex;
    std::vector<std::shared_ptr<response_mailbox>> mailboxes;
    std::atomic<std::size_t> open_exchange_count{0};
};

/// Handler of one reactor thread. Other threads access only the mailbox and the
/// shared state.
class reactor_handler final : public Pistache::Http::Handler
{
public:
    explicit reactor_handler(std::shared_ptr<server_state> shared);
    reactor_handler(const reactor_handler& other);
    reactor_handler& operator=(const reactor_handler&) = delete;

    [[nodiscard]] std::shared_ptr<Pistache::Tcp::Handler>
    clone() const override;

    void onRequest(
        const Pistache::Http::Request& request,
        Pistache::Http::ResponseWriter writer) override;
    void
    onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override;

private:
    struct pending_response
    {
        Pistache::Http::ResponseWriter writer;
        std::size_t peer;
    };

    void arm_timer();
    void on_timer(int timer_fd);
    void send_responses();

    std::shared_ptr<server_state> shared_;
    std::shared_ptr<response_mailbox> mailbox_;
    std::uint64_t reactor_ = 0;
    std::uint64_t last_sequence_ = 0;
    bool timer_armed_ = false;
    std::unordered_map<std::uint64_t, pending_response> pending_responses_;
    std::multimap<std::size_t, std::uint64_t> pending_of_peer_;
    std::vector<response_mailbox::posted_response> posted_responses_;
};

} // namespace peridotward
