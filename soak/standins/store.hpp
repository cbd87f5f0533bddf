#pragma once

#include <http_standin.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <string>

namespace peridotward::soak {

/// The platform's store as its pages describe it: ranges and watches.
class store
{
public:
    store(
        testing::net::io_context& context,
        std::string host,
        std::uint16_t port);

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    /// Forgets the history of changes: watches from before get 410.
    void compact() { oldest_ = revision_; }

    /// Refuses each call with 503 while set.
    void down(bool refuses) { down_ = refuses; }

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
    void changed();
    [[nodiscard]] std::string events_after(std::uint64_t revision) const;
    [[nodiscard]] std::string listing() const;

    testing::net::io_context* context_;
    std::map<std::string, item> items_;
    std::list<watch> watches_;
    std::uint64_t revision_ = 1;
    std::uint64_t oldest_ = 0;
    bool down_ = false;
};

} // namespace peridotward::soak
