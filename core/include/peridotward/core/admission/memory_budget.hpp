#pragma once

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace peridotward {

class memory_budget;

/// \brief Bytes of a `memory_budget`, given back at the end of this object's
/// life.
class memory_claim
{
public:
    memory_claim() = default;
    memory_claim(memory_claim&& other) noexcept
        : budget_{std::move(other.budget_)},
          group_{std::exchange(other.group_, nullptr)},
          bytes_{std::exchange(other.bytes_, 0)}
    {}
    memory_claim& operator=(memory_claim&& other) noexcept
    {
        if (this != &other) {
            release();
            budget_ = std::move(other.budget_);
            group_ = std::exchange(other.group_, nullptr);
            bytes_ = std::exchange(other.bytes_, 0);
        }
        return *this;
    }
    ~memory_claim() { release(); }

    /// \brief Gives the bytes back.
    void release() noexcept;

    /// \brief Gives back what exceeds `bytes`.
    void reduce(std::size_t bytes) noexcept;

    /// \returns The size in bytes, 0 if nothing is claimed.
    [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }

private:
    friend class memory_budget;
    using group_usage = std::pair<const std::string, std::size_t>;

    boost::intrusive_ptr<memory_budget> budget_;
    group_usage* group_ = nullptr;
    std::size_t bytes_ = 0;
};

/// \brief Waits for bytes of a `memory_budget`; the end of its life ends the
/// wait.
class memory_waiter
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    /// \param on_granted Called when the claim that was waited for is granted.
    explicit memory_waiter(std::function<void(memory_claim)> on_granted)
        : on_granted_{std::move(on_granted)}
    {}

    [[nodiscard]] bool waiting() const noexcept { return is_linked(); }

    void cancel() noexcept
    {
        if (is_linked())
            unlink();
    }

private:
    friend class memory_budget;

    std::function<void(memory_claim)> on_granted_;
    std::string group_;
    std::size_t bytes_ = 0;
};

/// \brief The memory that large messages of one instance may use together.
///
/// \remarks A message claims its whole size before more than `unclaimed_bytes`
/// of it are read, so that each message for which a claim is granted can be
/// completed. Claims are granted in the order in which they are asked for. A
/// group, such as the answers of one service, holds at most the share
/// `max_group_share`, so that one that uses up its memory doesn't stop the
/// others.
class memory_budget
    : public boost::
          intrusive_ref_counter<memory_budget, boost::thread_unsafe_counter>
{
public:
    /// Part of a message that needs no claim. With all 4,100 descriptors of a
    /// machine in use these parts amount to 64 MiB.
    static constexpr std::size_t unclaimed_bytes = 16U << 10U;
    static constexpr double max_group_share = 0.5;
    /// Bytes that may wait in one group before it counts as overcommitted, in
    /// multiples of what it may hold.
    static constexpr std::size_t max_waiting_shares = 4;
    /// Capacity of an instance whose settings state no limit of its memory.
    static constexpr std::size_t default_capacity = 32U << 20U;

    /// \param capacity In bytes.
    explicit memory_budget(std::size_t capacity) noexcept : capacity_{capacity}
    {}

    /// \brief Changes the capacity; claims above it stay.
    void limit(std::size_t capacity);

    /// \brief Claims `bytes` for `group`. A claim that exceeds a limit by
    /// itself is granted when no other one is held.
    ///
    /// \returns The claim if it is granted at once; an empty one if `waiter`
    /// now waits for it.
    [[nodiscard]] memory_claim
    claim(std::string_view group, std::size_t bytes, memory_waiter& waiter);

    /// \brief Counts bytes that are in use already, also above the limits.
    [[nodiscard]] memory_claim take(std::string_view group, std::size_t bytes);

    /// \returns The bytes of all claims.
    [[nodiscard]] std::size_t used() const noexcept { return used_; }

    /// \returns The bytes for which claims wait.
    [[nodiscard]] std::size_t waiting_bytes() const;

    [[nodiscard]] std::size_t capacity() const noexcept { return capacity_; }

    /// \returns Whether claims of `group` wait for so many bytes that a further
    /// one would hardly be granted in time.
    [[nodiscard]] bool overcommitted(std::string_view group) const;

private:
    friend class memory_claim;

    [[nodiscard]] std::size_t max_group_bytes() const noexcept;
    [[nodiscard]] bool
    fits(std::string_view group, std::size_t bytes) const noexcept;
    void give_back(memory_claim::group_usage& group, std::size_t bytes);
    /// \brief Grants the waiting claims that fit.
    void grant();

    std::size_t capacity_;
    std::size_t used_ = 0;
    std::map<std::string, std::size_t, std::less<>> groups_;
    boost::intrusive::
        list<memory_waiter, boost::intrusive::constant_time_size<false>>
            waiters_;
    bool granting_ = false;
};

} // namespace peridotward
