#pragma once

#include <peridotward/base/clock.hpp>

#include <boost/intrusive/set.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace peridotward {

/// \brief Handles the epoll events of one file descriptor.
class io_handler
{
public:
    /// \param events Bits such as `EPOLLIN`.
    virtual void on_events(std::uint32_t events) = 0;

protected:
    ~io_handler() = default;
};

/// \brief One-shot timer that calls its action; destroying the timer disarms
/// it.
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

/// \brief Event loop of the process's only thread: level-triggered epoll and
/// timers.
///
/// \remarks Descriptors stay registered while they are open, so that a request
/// and its answer need one `send`, one `recv` and a share of one `epoll_wait`;
/// see docs/CHOICES.md.
class reactor
{
public:
    explicit reactor(const clock& time);
    reactor(const reactor&) = delete;
    reactor& operator=(const reactor&) = delete;
    ~reactor();

    void add(int descriptor, std::uint32_t events, io_handler& handler);
    void modify(int descriptor, std::uint32_t events, io_handler& handler);

    /// \brief Unregisters the descriptor; its events that the current
    /// `epoll_wait` returned are dropped.
    void remove(int descriptor, io_handler& handler);

    /// \brief Sets `timer` to `due`, also if it was armed before.
    void arm(reactor_timer& timer, time_point due);
    static void disarm(reactor_timer& timer) noexcept;

    /// \brief Calls `action` after the current events and timers.
    void defer(std::function<void()> action);

    /// \brief Handles events until `stop` is called.
    void run();

    /// \brief Waits for events once, then handles them, the due timers and the
    /// deferred actions.
    void run_once();
    void stop() noexcept { stopped_ = true; }

    /// \returns The time at which the last `epoll_wait` returned, or of the
    /// last `refresh`.
    [[nodiscard]] time_point now() const noexcept { return now_; }

    /// \brief Updates `now` from the clock.
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
    std::vector<io_handler*> ready_handlers_; ///< Of the current events; null
                                              ///< if removed.
};

} // namespace peridotward
