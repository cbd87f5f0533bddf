#pragma once

#include <string>
#include <vector>

namespace peridotward::testing {

/// Latencies at one load.
struct plot_point
{
    double rate = 0; ///< Searches a second.
    double p50 = 0;  ///< In ms.
    double p99 = 0;  ///< In ms.
};

/// One measured system.
struct plot_curve
{
    std::string name;
    std::vector<plot_point> points; ///< By rising rate.
};

/// \returns An SVG document with a p50 and a p99 line for each curve; the
/// latency axis is logarithmic.
[[nodiscard]] std::string
render_plot(const std::string& title, const std::vector<plot_curve>& curves);

} // namespace peridotward::testing
