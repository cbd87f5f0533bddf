#pragma once

#include <peridotward/gateway/forwarder.hpp>
#include <peridotward/gateway/peer_gossip.hpp>

#include <memory>
#include <string_view>

namespace peridotward {

/// \brief Decodes the platform's directory and readiness requests and encodes
/// directory answers.
class directory_codec
{
public:
    directory_codec() = default;
    directory_codec(const directory_codec&) = delete;
    directory_codec& operator=(const directory_codec&) = delete;
    virtual ~directory_codec() = default;

    /// \returns Whether `path` is the path of directory requests.
    [[nodiscard]] virtual bool
    is_directory_path(std::string_view path) const = 0;

    /// \returns The caller's failure domain in the target of a directory
    /// request; empty if the target has none.
    [[nodiscard]] virtual std::string_view
    caller_domain_in(std::string_view target) const = 0;

    /// \returns The body of a directory answer; callers may keep the answer
    /// for `ttl`.
    [[nodiscard]] virtual std::string encode_answer(
        const std::vector<instance_candidate>& listed, seconds ttl) const = 0;

    /// \returns Whether `path` is the path of readiness checks.
    [[nodiscard]] virtual bool
    is_readiness_path(std::string_view path) const = 0;
};

/// \brief One instance of the gateway: listeners, request forwarding and
/// membership gossip.
///
/// \remarks The owner supplies configuration and upstreams through
/// `forwarding()`, then calls `set_upstreams_known`.
class gateway
{
public:
    gateway(
        reactor& loop,
        event_log& log,
        gateway_settings settings,
        header_names names,
        const directory_codec& codec,
        std::uint64_t seed,
        incarnation_number incarnation);
    ~gateway();

    /// \brief Opens the listeners and joins the peers; `io_failed` if an
    /// address can't be bound.
    [[nodiscard]] result<void> start();

    /// \brief Begins the graceful shutdown; the reactor stops at its end.
    void stop();

    /// \returns Whether the shutdown has ended: the process may exit.
    [[nodiscard]] bool stopped() const noexcept;

    /// \brief Applies changed settings if none of the changes needs a restart;
    /// logs the names of the changed settings, or why `loaded` was rejected.
    void reload(const result<gateway_settings>& loaded);

    /// \brief Makes the instance ready: configuration and upstreams are known.
    void set_upstreams_known();

    /// \returns Whether callers are served: configuration and upstreams are
    /// known, and the shutdown hasn't begun.
    [[nodiscard]] bool ready() const;

    /// \brief Passes requests for other control paths than `/metrics` and
    /// `/state` to `handler`, which must outlive the gateway.
    void extend_control(http_handler& handler);

    [[nodiscard]] forwarder& forwarding() noexcept;
    [[nodiscard]] const peer_gossip& peers() const noexcept;
    [[nodiscard]] const gateway_settings& settings() const noexcept;
    [[nodiscard]] counters& stats() noexcept;

private:
    struct implementation;

    std::unique_ptr<implementation> impl_;
};

} // namespace peridotward
