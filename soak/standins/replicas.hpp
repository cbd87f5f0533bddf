#pragma once

#include "judge.hpp"
#include "store.hpp"

#include <peridotward/base/random.hpp>

#include <http_standin.hpp>

#include <memory>
#include <string>
#include <vector>

namespace peridotward::soak {

/// Share of answers that any replica breaks off at any time.
inline constexpr double base_break_share = 0.005;

/// One replica: what it is and how it misbehaves.
struct replica_standin
{
    std::string id;
    std::string service;
    std::string domain;
    std::string host;
    std::uint16_t port = 0;
    std::uint16_t published_port = 0; ///< Of the proxy before it.
    double shed_share = 0;
    double break_share = base_break_share;
    double hang_share = 0;
    std::uint32_t running = 0;
    std::uint64_t born = 1;
};

/// All replicas, on one thread.
class replicas
{
public:
    replicas(
        testing::net::io_context& context,
        judge& seen,
        store& shared,
        std::uint64_t seed);

    void add(replica_standin wanted);
    void publish(const replica_standin& known, bool draining = false);
    [[nodiscard]] std::vector<std::shared_ptr<replica_standin>>& all() noexcept
    {
        return all_;
    }

private:
    void on_request(
        const std::shared_ptr<replica_standin>& at,
        testing::standin_request request,
        testing::respond answer);

    testing::net::io_context* context_;
    judge* seen_;
    store* store_;
    random_source random_;
    std::vector<std::shared_ptr<replica_standin>> all_;
};

} // namespace peridotward::soak
