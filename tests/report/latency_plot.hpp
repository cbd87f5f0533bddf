#pragma once

#include <string>
#include <vector>

namespace peridotward::testing {

/// Latencies at one request rate.
struct plot_point
{
    double rate = 0; ///< Searches per second.
    double p50 = 0;  ///< In ms.
    double p99 = 0;  ///< In ms.
};

/// Latencies of one system over the request rate.
struct plot_curve
{
    std::string name;
    std::vector<plot_point> points; ///< Sorted by rate.
};

/// \returns An SVG document with a p50 and a p99 line for each curve; the
/// latency axis is logarithmic.
[[nodiscard]] std::string
render_plot(const std::string& title, const std::vector<plot_curve>& curves);

} // namespace peridotward::testing
