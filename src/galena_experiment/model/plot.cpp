#include "plot.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace galenafork::pvt
{

namespace
{

// Lengths in pixels.
constexpr int bar_width = 8;
constexpr int group_gap = 16;
constexpr int panel_height = 200;
constexpr int panel_gap = 90;
constexpr int left_margin = 50;
constexpr int top_margin = 50;

// Top of the vertical scale; higher bars are cut off.
constexpr double max_plotted_ratio = 3;

// The Okabe-Ito palette, which colour-blind people can distinguish.
constexpr std::array<const char*, all_strategies.size()> colours{
    "#000000", "#999999", "#e69f00", "#56b4e9",
    "#009e73", "#cc79a7", "#d55e00"};

std::vector<std::string> services_of(const results& all)
{
    std::vector<std::string> names;
    for (const result& r : all)
    {
        if (std::find(names.begin(), names.end(), r.service_) == names.end())
        {
            names.push_back(r.service_);
        }
    }
    return names;
}

std::vector<std::string> scenarios_of(const results& all)
{
    std::vector<std::string> names;
    for (const result& r : all)
    {
        const std::string& name = r.scenario_.name_;
        if (std::find(names.begin(), names.end(), name) == names.end())
        {
            names.push_back(name);
        }
    }
    return names;
}

int group_width()
{
    return (static_cast<int>(all_strategies.size()) * bar_width) + group_gap;
}

void write_text(std::ostream& out, int x, int y, const std::string& content)
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\">" << content
        << "</text>\n";
}

void write_bar(std::ostream& out, int x, int bottom, double value,
               const char* colour)
{
    const double fraction =
        std::min(value, max_plotted_ratio) / max_plotted_ratio;
    const int height = static_cast<int>(fraction * panel_height);
    out << "<rect x=\"" << x << "\" y=\"" << bottom - height << "\" width=\""
        << bar_width - 1 << "\" height=\"" << height << "\" fill=\"" << colour
        << "\"/>\n";
}

void write_scale(std::ostream& out, int bottom, int width)
{
    for (int tick = 0; tick <= static_cast<int>(max_plotted_ratio); ++tick)
    {
        const int y = bottom - (tick * panel_height /
                                static_cast<int>(max_plotted_ratio));
        out << "<line x1=\"" << left_margin << "\" x2=\"" << width << "\" y1=\""
            << y << "\" y2=\"" << y << "\" stroke=\"#cccccc\"/>\n";
        write_text(out, left_margin - 20, y, std::to_string(tick));
    }
}

void write_panel(std::ostream& out, const results& all,
                 const std::string& service, int bottom, int width)
{
    write_scale(out, bottom, width);
    write_text(out, left_margin, bottom - panel_height - 10,
               service + ": highest load over mean, one-second windows");
    int x = left_margin + group_gap;
    int label_row = 0;
    for (const std::string& scenario : scenarios_of(all))
    {
        write_text(out, x, bottom + 14 + (label_row++ % 2 * 14), scenario);
        for (std::size_t i = 0; i < all_strategies.size(); ++i)
        {
            const result* r =
                find_result(all, service, scenario, all_strategies[i]);
            if (r != nullptr)
            {
                write_bar(out, x + (static_cast<int>(i) * bar_width), bottom,
                          r->metrics_.one_second_windows_.max_over_mean_,
                          colours[i]);
            }
        }
        x += group_width();
    }
}

void write_legend(std::ostream& out)
{
    int x = left_margin;
    for (std::size_t i = 0; i < all_strategies.size(); ++i)
    {
        out << "<rect x=\"" << x << "\" y=\"8\" width=\"10\" height=\"10\" "
            << "fill=\"" << colours[i] << "\"/>\n";
        write_text(out, x + 14, 17, to_string(all_strategies[i]));
        x += 120;
    }
}

} // namespace

std::string plot(const results& all)
{
    const auto services = services_of(all);
    const int groups = static_cast<int>(scenarios_of(all).size());
    const int width =
        std::max(left_margin + ((groups + 1) * group_width()), 920);
    const int height = top_margin + (static_cast<int>(services.size()) *
                                     (panel_height + panel_gap));
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width
        << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    write_legend(out);
    int bottom = top_margin + panel_height;
    for (const std::string& service : services)
    {
        write_panel(out, all, service, bottom, width);
        bottom += panel_height + panel_gap;
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace galenafork::pvt
