#pragma once

#include <http_standin.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <string>

namespace peridotward::soak {

/// A stand-in for the platform's key-value store: range reads and watches.
class store
{
public:
    store(
        testing::net::io_context& context,
        std::string host,
        std::uint16_t port);

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    /// Discards the change history: a watch from an older revision gets 410.
    void compact() { oldest_revision_ = revision_; }

    /// While set, each call is refused with 503.
    void set_down(bool refuse) { down_ = refuse; }

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };
    struct watch
    {
        std::uint64_t after;
        testing::respond answer;
        std::shared_ptr<testing::net::steady_timer> timer;
    };

    void on_request(testing::standin_request request, testing::respond answer);
    void answer_watches();
    [[nodiscard]] std::string events_after(std::uint64_t revision) const;
    [[nodiscard]] std::string listing() const;

    testing::net::io_context* context_;
    std::map<std::string, item> items_;
    std::list<watch> watches_;
    std::uint64_t revision_ = 1;
    std::uint64_t oldest_revision_ = 0;
    bool down_ = false;
};

} // namespace peridotward::soak
