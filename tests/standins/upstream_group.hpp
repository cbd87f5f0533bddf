#pragma once

#include "upstream_standin.hpp"

#include <memory>
#include <string>
#include <vector>

namespace peridotward::testing {

/// The stand-ins of all upstreams of one bundle, with a control interface:
///
///     GET  /ledger                             counters of all upstreams
///     POST /control {match, set, stagger_ms}   changes their behaviour
///     POST /ran {not_run_ids, stored_ids}      counts ids that contradict
///                                              the journals
///     POST /delays {domain_ms, connect_cost}   sets network delays
///     PUT  /bundle                             replaces the shard maps
///
/// An upstream matches by its id, service or failure domain, or by "*". With
/// stagger_ms the matching upstreams change one after another, at this
/// interval.
class upstream_group
{
public:
    upstream_group(net::io_context& context, bundle_ptr current_bundle);

    /// Opens the upstreams' listeners.
    void start();

    void on_control(const standin_request& request, const respond& answer);

    [[nodiscard]] const record_set& records() const noexcept
    {
        return records_;
    }
    [[nodiscard]] json ledger() const;

    /// Changes the behaviour of matching upstreams.
    /// \returns The number of matching upstreams.
    std::size_t change(const std::string& match, const json& set);

private:
    [[nodiscard]] json apply(const standin_request& request);
    std::size_t change_staggered(
        const std::string& match, const json& set, double stagger_ms);
    [[nodiscard]] std::vector<upstream_standin*>
    matching(const std::string& match);
    [[nodiscard]] bool has_run(const std::string& request) const;
    [[nodiscard]] json check_ids(const json& report) const;
    void replace_maps(const std::string& text);

    net::io_context* context_;
    record_set records_;
    shared_state shared_;
    std::vector<std::unique_ptr<upstream_standin>> upstreams_;
};

} // namespace peridotward::testing
