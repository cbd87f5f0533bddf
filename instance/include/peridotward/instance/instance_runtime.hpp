#pragma once

#include <peridotward/base/error.hpp>
#include <peridotward/config/settings.hpp>

#include <memory>

namespace peridotward {

/// \brief One running instance: listeners, loop and everything on it.
class instance_runtime
{
public:
    explicit instance_runtime(settings configured);
    ~instance_runtime();
    instance_runtime(const instance_runtime&) = delete;
    instance_runtime& operator=(const instance_runtime&) = delete;

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
