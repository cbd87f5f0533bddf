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

/// \brief Ordering criteria of a queued request.
struct send_urgency
{
    std::int32_t priority = 0; ///< Priority of the route; 0 is the most urgent.
    time_point full_value_until; ///< Answers lose value after this time.
};

/// \brief Queue of one instance's requests that wait for a connection to one
/// replica.
///
/// \remarks Needed when a shard has few healthy replicas left: the instance's
/// connections to them are all in use for some milliseconds at a time, and
/// dropping a part immediately would fail its search. Requests that can still
/// be answered in time come first, then by priority, then by deadline. The
/// length is bounded, since a request at the end of a longer queue would be no
/// better off than a refused one.
template<class Request>
class send_queue
{
public:
    /// Maximum queue length for each connection. A replica serves two to four
    /// requests at once, so the last request waits for about four answers.
    static constexpr std::size_t waiting_per_connection = 4;

    /// \brief Queues a request.
    ///
    /// \param connections Connections that this instance has to the replica.
    /// \returns The request that is dropped when the queue is full: the new one
    /// or a less urgent one.
    [[nodiscard]] std::optional<Request> push(
        Request request,
        send_urgency urgency,
        std::size_t connections,
        time_point now)
    {
        waiting_.push_back({std::move(request), urgency});
        if (waiting_.size() <= connections * waiting_per_connection)
            return std::nullopt;
        // Among equally urgent requests, drop the newest.
        const auto least_urgent =
            std::max_element(waiting_.rbegin(), waiting_.rend(), order_at(now));
        return extract(std::prev(least_urgent.base()));
    }

    /// \returns The most urgent request, removed from the queue, or nothing
    /// when the queue is empty.
    [[nodiscard]] std::optional<Request> pop(time_point now)
    {
        if (waiting_.empty())
            return std::nullopt;
        return extract(
            std::min_element(waiting_.begin(), waiting_.end(), order_at(now)));
    }

    /// \returns A request for which `match` returns true, removed from the
    /// queue, or nothing when there is none.
    template<class Match>
    [[nodiscard]] std::optional<Request> extract_if(Match match)
    {
        const auto found = std::find_if(
            waiting_.begin(), waiting_.end(), [&](const auto& waiting) {
                return match(waiting.request);
            });
        if (found == waiting_.end())
            return std::nullopt;
        return extract(found);
    }

    [[nodiscard]] std::size_t size() const noexcept { return waiting_.size(); }
    [[nodiscard]] bool empty() const noexcept { return waiting_.empty(); }

private:
    struct waiting_request
    {
        Request request;
        send_urgency urgency;
    };

    [[nodiscard]] static auto order_at(time_point now)
    {
        return [now](const waiting_request& a, const waiting_request& b) {
            const auto rank = [now](const send_urgency& urgency) {
                return std::tuple{
                    urgency.full_value_until <= now,
                    urgency.priority,
                    urgency.full_value_until};
            };
            return rank(a.urgency) < rank(b.urgency);
        };
    }

    Request extract(typename std::vector<waiting_request>::iterator position)
    {
        Request request = std::move(position->request);
        waiting_.erase(position);
        return request;
    }

    std::vector<waiting_request> waiting_;
};

} // namespace peridotward
