#pragma once

#include <peridotward/base/time.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace peridotward {

/// \brief How much a request's wait matters.
struct send_urgency
{
    std::int32_t priority = 0;   ///< Of its route; 0 is the most urgent.
    time_point full_value_until; ///< Its answer has its full value until then.
};

/// \brief Requests of one instance that wait for a connection to one replica.
///
/// \remarks Answers the load in which a shard has few sound replicas left: the
/// connections that one instance may have to them are in use for some
/// milliseconds at a time, and giving a part up at once fails its search. Who
/// can still be in time goes first, then who is more urgent, then who has less
/// time. Bounded: a longer queue is no better than a refusal.
template<class Request>
class send_queue
{
public:
    /// Requests that wait for each connection. With replicas that serve two
    /// to four requests at once, the last one waits for some four answers.
    static constexpr std::size_t waiting_per_connection = 4;

    /// \brief Takes in a request.
    ///
    /// \param connections Of this instance to the replica.
    /// \returns The request that finds no room, this one or a less urgent one.
    [[nodiscard]] std::optional<Request> push(
        Request request,
        send_urgency urgency,
        std::size_t connections,
        time_point now)
    {
        waiting_.push_back({std::move(request), urgency});
        if (waiting_.size() <= connections * waiting_per_connection)
            return std::nullopt;
        // The newest one among equals.
        const auto last = std::max_element(
            waiting_.rbegin(), waiting_.rend(), before_at(now));
        return take(std::prev(last.base()));
    }

    /// \returns The most urgent request, or nothing when none waits.
    [[nodiscard]] std::optional<Request> pop(time_point now)
    {
        if (waiting_.empty())
            return std::nullopt;
        return take(
            std::min_element(waiting_.begin(), waiting_.end(), before_at(now)));
    }

    /// \returns Any request for which `match` holds, taken out; nothing when
    /// there is none.
    template<class Match>
    [[nodiscard]] std::optional<Request> take_if(Match match)
    {
        const auto found = std::find_if(
            waiting_.begin(), waiting_.end(), [&](const auto& entry) {
                return match(entry.request);
            });
        if (found == waiting_.end())
            return std::nullopt;
        return take(found);
    }

    [[nodiscard]] std::size_t size() const noexcept { return waiting_.size(); }
    [[nodiscard]] bool empty() const noexcept { return waiting_.empty(); }

private:
    struct entry
    {
        Request request;
        send_urgency urgency;
    };

    [[nodiscard]] static auto before_at(time_point now)
    {
        return [now](const entry& a, const entry& b) {
            const auto rank = [now](const send_urgency& of) {
                return std::tuple{
                    of.full_value_until <= now,
                    of.priority,
                    of.full_value_until};
            };
            return rank(a.urgency) < rank(b.urgency);
        };
    }

    Request take(typename std::vector<entry>::iterator at)
    {
        Request taken = std::move(at->request);
        waiting_.erase(at);
        return taken;
    }

    std::vector<entry> waiting_;
};

} // namespace peridotward
