#pragma once

#include <peridotward/base/error.hpp>
#include <peridotward/config/settings.hpp>

#include <memory>

namespace peridotward {

/// \brief One running instance: listeners, loop and everything on it.
class node
{
public:
    explicit node(settings configured);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// \brief Binds every listener.
    ///
    /// \returns The first error; nothing is left bound then.
    [[nodiscard]] result<void> start();

    /// \brief Serves until the graceful shutdown is complete.
    void run();

    /// \brief Begins the graceful shutdown; callable from any thread. A
    /// second call ends the process at once.
    void request_stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace peridotward
