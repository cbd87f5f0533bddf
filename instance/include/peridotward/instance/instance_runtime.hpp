#pragma once

#include <peridotward/base/error.hpp>
#include <peridotward/config/settings.hpp>

#include <memory>

namespace peridotward {

/// \brief One running instance of the query tier, with its listeners and event
/// loop.
class instance_runtime
{
public:
    explicit instance_runtime(settings configured);
    ~instance_runtime();
    instance_runtime(const instance_runtime&) = delete;
    instance_runtime& operator=(const instance_runtime&) = delete;

    /// \brief Reads the files that the settings name and binds all listeners.
    ///
    /// \returns The first error; no listener stays bound then.
    [[nodiscard]] result<void> start();

    /// \brief Serves until the graceful shutdown is complete.
    void run();

    /// \brief Starts the graceful shutdown. Thread-safe. A second call ends the
    /// process at once.
    void request_stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace peridotward
