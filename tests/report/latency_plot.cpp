#include "latency_plot.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace peridotward::testing {

namespace {

constexpr double width = 760;
constexpr double height = 440;
constexpr double left = 60;
constexpr double right = 740;
constexpr double top = 40;
constexpr double bottom = 390;
constexpr double min_ms = 1;
constexpr double max_ms = 10'000;
constexpr std::array colours{"#1f5fa8", "#b5521b", "#3b7d3a"};

double y_of(double ms)
{
    const double shown = std::clamp(ms, min_ms, max_ms);
    const double share = std::log(shown / min_ms) / std::log(max_ms / min_ms);
    return bottom - share * (bottom - top);
}

class svg_writer
{
public:
    svg_writer(const std::string& title, double max_rate) : max_rate_{max_rate}
    {
        out_ << "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 "
             << width << " " << height
             << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
             << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
        text(left, top - 16, title);
    }

    void axes()
    {
        for (double ms = min_ms; ms <= max_ms; ms *= 10) {
            const double y = y_of(ms);
            line(left, y, right, y, "#dddddd");
            text(8, y + 4, label(ms) + " ms");
        }
        constexpr int steps = 5;
        for (int i = 0; i <= steps; ++i) {
            const double rate = max_rate_ * i / steps;
            line(x_of(rate), bottom, x_of(rate), bottom + 5, "#444444");
            text(x_of(rate) - 10, bottom + 18, label(std::round(rate)));
        }
        text((left + right) / 2 - 40, bottom + 38, "searches per second");
    }

    void curve(
        const plot_curve& plotted,
        double plot_point::*member,
        const char* colour,
        bool dashed)
    {
        out_ << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour
             << "\"" << (dashed ? " stroke-dasharray=\"5 4\"" : "")
             << " points=\"";
        for (const auto& point : plotted.points)
            out_ << x_of(point.rate) << "," << y_of(point.*member) << " ";
        out_ << "\"/>\n";
    }

    void legend(int row, const std::string& name, const char* colour)
    {
        const double y = top + 14 * row;
        line(right - 210, y, right - 180, y, colour);
        text(right - 172, y + 4, name + ": p50 solid, p99 dashed");
    }

    [[nodiscard]] std::string finish()
    {
        out_ << "</svg>\n";
        return out_.str();
    }

private:
    [[nodiscard]] double x_of(double rate) const
    {
        return left + rate / max_rate_ * (right - left);
    }

    static std::string label(double value)
    {
        std::ostringstream out;
        out << value;
        return out.str();
    }

    void
    line(double x1, double y1, double x2, double y2, const std::string& colour)
    {
        out_ << "<line x1=\"" << x1 << "\" y1=\"" << y1 << "\" x2=\"" << x2
             << "\" y2=\"" << y2 << "\" stroke=\"" << colour << "\"/>\n";
    }

    void text(double x, double y, const std::string& content)
    {
        out_ << "<text x=\"" << x << "\" y=\"" << y << "\">" << content
             << "</text>\n";
    }

    double max_rate_;
    std::ostringstream out_;
};

} // namespace

std::string
render_plot(const std::string& title, const std::vector<plot_curve>& curves)
{
    double max_rate = 1;
    for (const auto& curve : curves) {
        for (const auto& point : curve.points)
            max_rate = std::max(max_rate, point.rate);
    }
    svg_writer svg{title, max_rate};
    svg.axes();
    int row = 0;
    for (const auto& curve : curves) {
        const auto* colour =
            colours[static_cast<std::size_t>(row) % colours.size()];
        svg.curve(curve, &plot_point::p50, colour, false);
        svg.curve(curve, &plot_point::p99, colour, true);
        svg.legend(row++, curve.name, colour);
    }
    return svg.finish();
}

} // namespace peridotward::testing
