#pragma once

#include <http_standin.hpp>
#include <store_state.hpp>

#include <cstdint>
#include <functional>
#include <list>
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

    /// Keeps `other` the same as this store, but for the values that `change`
    /// alters.
    void mirror_to(
        store& other, std::function<std::string(const std::string&)> change);

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    /// Discards the change history: a watch from an older revision gets 410.
    void compact();

    /// While set, each call is refused with 503.
    void set_down(bool refuse);

    void take_copy();
    /// Forgets all waiting watches; while set, calls get no answer.
    void set_away(bool away);
    /// Loses all changes since `take_copy`; a new era begins.
    std::vector<testing::lost_write> restore_copy();
    void write_again(const testing::lost_write& write);

private:
    struct watch
    {
        std::uint64_t after;
        testing::respond answer;
        std::shared_ptr<testing::net::steady_timer> timer;
    };

    void on_request(testing::standin_request request, testing::respond answer);
    void answer_watches();
    void send(
        const testing::respond& answer,
        const testing::store_answer& content) const;

    testing::net::io_context* context_;
    store* mirror_ = nullptr;
    std::function<std::string(const std::string&)> change_;
    testing::store_state state_;
    std::list<watch> watches_;
    bool down_ = false;
    bool away_ = false;
};

} // namespace peridotward::soak
