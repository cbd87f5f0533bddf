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

/// Answers on their way to the reactor that owns their connections.
class reply_mailbox
{
public:
    using entry = std::pair<std::uint64_t, http_response>;

    void post(std::uint64_t sequence, http_response response);
    void take(std::vector<entry>& out);

private:
    std::mutex mutex_;
    std::vector<entry> entries_;
};

/// What the reactors of one listener share.
struct server_shared
{
    http_server::request_handler on_request;
    http_server::gone_handler on_gone;
    std::mutex mutex;
    std::vector<std::shared_ptr<reply_mailbox>> mailboxes;
    std::atomic<std::size_t> open{0};
};

/// Handler of one reactor thread; all members but the mailbox are its own.
class reactor_handler final : public Pistache::Http::Handler
{
public:
    explicit reactor_handler(std::shared_ptr<server_shared> shared);
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
    struct owed_answer
    {
        Pistache::Http::ResponseWriter writer;
        std::size_t peer;
    };

    void arm_timer();
    void on_timer(int fired);
    void send_answers();

    std::shared_ptr<server_shared> shared_;
    std::shared_ptr<reply_mailbox> mailbox_;
    std::uint64_t reactor_ = 0;
    std::uint64_t last_sequence_ = 0;
    bool timer_armed_ = false;
    std::unordered_map<std::uint64_t, owed_answer> owed_;
    std::multimap<std::size_t, std::uint64_t> by_peer_;
    std::vector<reply_mailbox::entry> taken_;
};

} // namespace peridotward
