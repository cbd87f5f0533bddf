#pragma once

#include <peridotward/wire/peer_link.hpp>

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace peridotward {

/// A peer link that records the events it reported.
class recorded_link
{
public:
    struct message
    {
        std::string from;
        incarnation_number incarnation = 0;
        peer_message body;
    };
    struct event_log
    {
        std::vector<message> messages;
        std::vector<delivery_ticket> unsent;
        std::vector<std::string> lost;
    };

    explicit recorded_link(peer_link_options options)
        : link_{std::move(options), events()}
    {}

    peer_link* operator->() noexcept { return &link_; }

    /// \returns Whether `condition` became true within 20 s.
    bool wait(const std::function<bool(const event_log&)>& condition)
    {
        std::unique_lock lock{mutex_};
        return changed_.wait_for(
            lock, seconds{20}, [&] { return condition(log_); });
    }
    event_log log()
    {
        const std::scoped_lock lock{mutex_};
        return log_;
    }

private:
    peer_link_events events()
    {
        peer_link_events handlers;
        handlers.received = [this](
                                const std::string& instance_id,
                                incarnation_number incarnation,
                                peer_message body) {
            record_event([&] {
                log_.messages.push_back(
                    {instance_id, incarnation, std::move(body)});
            });
        };
        handlers.unsent = [this](const std::string&, delivery_ticket ticket) {
            record_event([&] { log_.unsent.push_back(ticket); });
        };
        handlers.lost = [this](const std::string& instance_id) {
            record_event([&] { log_.lost.push_back(instance_id); });
        };
        return handlers;
    }
    template<class Change>
    void record_event(Change change)
    {
        const std::scoped_lock lock{mutex_};
        change();
        changed_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    event_log log_;
    peer_link link_;
};

inline endpoint link_endpoint(int instance_id)
{
    return {"127.33.200." + std::to_string(instance_id), 8082};
}

inline std::unique_ptr<recorded_link>
start_link(int instance_id, const std::string& key = "shared key")
{
    peer_link_options options;
    options.address = link_endpoint(instance_id);
    options.instance_id = "s" + std::to_string(instance_id);
    options.incarnation = 1000U + static_cast<unsigned>(instance_id);
    options.key = key;
    options.max_frame_bytes = 65536;
    auto link = std::make_unique<recorded_link>(options);
    const auto started = (*link)->start();
    if (!started)
        throw std::runtime_error{started.error().message};
    (*link)->set_addresses(
        {{"s1", link_endpoint(1)},
         {"s2", link_endpoint(2)},
         {"s3", link_endpoint(3)}});
    return link;
}

} // namespace peridotward
