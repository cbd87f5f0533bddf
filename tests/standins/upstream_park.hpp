#pragma once

#include "upstream_standin.hpp"

#include <memory>
#include <string>
#include <vector>

namespace peridotward::testing {

/// All upstreams of one bundle, and what a test asks of them:
///
///     GET  /ledger                        what reached the upstreams
///     POST /control {match, set, stagger_ms}   changes their behaviour
///     POST /ran {not_run_ids, stored_ids} how many ids contradict the journal
///     POST /delays {domain_ms, connect_cost}   network delays
///     PUT  /bundle                        other shard maps
///
/// An upstream matches by its id, service or domain, or by "*". With
/// stagger_ms one upstream after the other changes, that far apart.
class upstream_park
{
public:
    upstream_park(net::io_context& context, bundle_ptr defined);

    /// Opens the upstreams' listeners.
    void start();

    void on_control(const standin_request& request, const respond& answer);

    [[nodiscard]] const record_set& records() const noexcept
    {
        return records_;
    }
    [[nodiscard]] json ledger() const;

    /// Changes matching upstreams.
    /// \returns How many matched.
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
