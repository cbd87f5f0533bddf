#pragma once

#include <peridotward/base/clock.hpp>

#include <boost/intrusive/set.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace peridotward {

/// \brief Takes the events of one file descriptor.
class io_handler
{
public:
    /// \param events Bits of epoll.
    virtual void on_events(std::uint32_t events) = 0;

protected:
    ~io_handler() = default;
};

/// \brief Something to do at a time; belongs to its owner.
class reactor_timer
    : public boost::intrusive::set_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    explicit reactor_timer(std::function<void()> action)
        : action_{std::move(action)}
    {}

    [[nodiscard]] time_point due() const noexcept { return due_; }
    [[nodiscard]] bool armed() const noexcept { return is_linked(); }

    friend bool
    operator<(const reactor_timer& a, const reactor_timer& b) noexcept
    {
        return a.due_ < b.due_;
    }

private:
    friend class reactor;

    time_point due_;
    std::function<void()> action_;
};

/// \brief The only thread's loop: level-triggered epoll and timers.
///
/// \remarks Descriptors stay registered while they are open, so a request and
/// its answer cost one send, one receive and a share of one wait; see
/// docs/CHOICES.md.
class reactor
{
public:
    explicit reactor(const clock& time);
    reactor(const reactor&) = delete;
    reactor& operator=(const reactor&) = delete;
    ~reactor();

    void add(int descriptor, std::uint32_t events, io_handler& handler);
    void change(int descriptor, std::uint32_t events, io_handler& handler);

    /// \brief Forgets the descriptor; events already taken are dropped.
    void remove(int descriptor, io_handler& handler);

    void arm(reactor_timer& timer, time_point due);
    static void disarm(reactor_timer& timer) noexcept;

    /// \brief Runs `action` after the events at hand.
    void defer(std::function<void()> action);

    /// \brief Handles events until `stop`.
    void run();

    /// \brief Waits for events once and handles them.
    void run_once();
    void stop() noexcept { stopped_ = true; }

    /// \returns The time when the events at hand were taken.
    [[nodiscard]] time_point now() const noexcept { return now_; }

    /// \brief Reads the clock anew.
    time_point refresh() noexcept { return now_ = clock_->now(); }

private:
    using timer_set = boost::intrusive::
        multiset<reactor_timer, boost::intrusive::constant_time_size<false>>;

    [[nodiscard]] int wait_milliseconds() const noexcept;
    void run_timers();
    void run_deferred();

    const clock* clock_;
    int epoll_;
    bool stopped_ = false;
    time_point now_;
    timer_set timers_;
    std::vector<std::function<void()>> deferred_;
    std::vector<io_handler*> taken_; ///< Handlers of the events at hand.
};

} // namespace peridotward
