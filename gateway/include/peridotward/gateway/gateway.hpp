#pragma once

#include <peridotward/gateway/forwarder.hpp>
#include <peridotward/gateway/peer_gossip.hpp>

#include <memory>
#include <string_view>

namespace peridotward {

/// \brief Reads a directory question and writes its answer; the form of both
/// belongs to the platform.
class directory_codec
{
public:
    directory_codec() = default;
    directory_codec(const directory_codec&) = delete;
    directory_codec& operator=(const directory_codec&) = delete;
    virtual ~directory_codec() = default;

    [[nodiscard]] virtual bool asks(std::string_view path) const = 0;

    /// \returns The caller's failure domain in a question; may be empty.
    [[nodiscard]] virtual std::string_view
    domain_in(std::string_view target) const = 0;
    [[nodiscard]] virtual std::string
    answer(const std::vector<instance_candidate>& named, seconds ttl) const = 0;
    [[nodiscard]] virtual bool asks_ready(std::string_view path) const = 0;
};

/// \brief One instance of the gateway: listeners, forwarding and peers.
///
/// \remarks What it forwards to comes from outside, through `forwarding()`.
class gateway
{
public:
    gateway(
        reactor& loop,
        event_log& log,
        gateway_settings settings,
        protocol_names names,
        const directory_codec& codec,
        std::uint64_t seed,
        incarnation_number incarnation);
    ~gateway();

    [[nodiscard]] result<void> start();

    /// \brief Begins the graceful shutdown.
    void stop();

    /// \brief Puts changed settings in force, as far as that goes without a
    /// restart; logs what changed, or why nothing did.
    void reload(const result<gateway_settings>& loaded);

    /// \brief Says that configuration and upstreams are known.
    void upstreams_known();

    /// \returns Whether callers are served.
    [[nodiscard]] bool ready() const;

    /// \brief Lets `handler` answer the control paths that are not known here.
    void extend_control(http_handler& handler);

    [[nodiscard]] forwarder& forwarding() noexcept;
    [[nodiscard]] const peer_gossip& peers() const noexcept;
    [[nodiscard]] const gateway_settings& settings() const noexcept;
    [[nodiscard]] counters& numbers() noexcept;

private:
    struct parts;

    std::unique_ptr<parts> parts_;
};

} // namespace peridotward
