#include <galenafork/metrics.h>

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <sstream>

namespace galenafork
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 4> quantile_probabilities{0.5, 0.9, 0.99, 0.999};

using sample_set =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                            acc::tag::extended_p_square>>;

std::string escape_label(const std::string& value)
{
    std::string out;
    for (const char c : value)
    {
        if (c == '\n')
        {
            out += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
        {
            out += '\\';
        }
        out += c;
    }
    return out;
}

std::string label_text(const metric_labels& labels)
{
    std::string text;
    for (const metric_label& label : labels)
    {
        text += text.empty() ? "{" : ",";
        text += label.name_ + "=\"" + escape_label(label.value_) + "\"";
    }
    return text.empty() ? text : text + "}";
}

struct series
{
    metric_labels labels_;
    counter counter_;
    gauge gauge_;
    distribution distribution_;
};

} // namespace

struct distribution::accumulator
{
    sample_set samples_{acc::extended_p_square_probabilities =
                            quantile_probabilities};
};

distribution::distribution() : accumulator_(std::make_unique<accumulator>()) {}

distribution::~distribution() = default;

void distribution::record(double sample) noexcept
{
    const std::unique_lock<std::mutex> lock(mutex_, std::try_to_lock);
    if (lock.owns_lock())
    {
        accumulator_->samples_(sample);
    }
}

distribution::snapshot distribution::read() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const sample_set& samples = accumulator_->samples_;
    snapshot result;
    result.count_ = acc::count(samples);
    if (result.count_ == 0)
    {
        return result;
    }
    result.sum_ = acc::sum(samples);
    const auto estimates = acc::extended_p_square(samples);
    for (std::size_t i = 0; i < quantile_probabilities.size(); ++i)
    {
        result.quantiles_.emplace_back(
            quantile_probabilities[i],
            estimates[static_cast<std::ptrdiff_t>(i)]);
    }
    return result;
}

struct metrics_registry::family
{
    std::string name_;
    std::string help_;
    std::string type_;
    std::vector<std::unique_ptr<series>> series_;

    series& add(const metric_labels& labels)
    {
        series_.push_back(std::make_unique<series>());
        series_.back()->labels_ = labels;
        return *series_.back();
    }

    void write_summary(std::ostream& out, const series& s) const
    {
        const auto values = s.distribution_.read();
        for (const auto& [probability, value] : values.quantiles_)
        {
            std::ostringstream quantile;
            quantile << probability;
            metric_labels labels = s.labels_;
            labels.push_back({"quantile", quantile.str()});
            out << name_ << label_text(labels) << " " << value << "\n";
        }
        const std::string labels = label_text(s.labels_);
        out << name_ << "_sum" << labels << " " << values.sum_ << "\n"
            << name_ << "_count" << labels << " " << values.count_ << "\n";
    }

    void write(std::ostream& out) const
    {
        out << "# HELP " << name_ << " " << help_ << "\n"
            << "# TYPE " << name_ << " " << type_ << "\n";
        for (const auto& s : series_)
        {
            const std::string labels = label_text(s->labels_);
            if (type_ == "summary")
            {
                write_summary(out, *s);
            }
            else if (type_ == "counter")
            {
                out << name_ << labels << " " << s->counter_.value() << "\n";
            }
            else
            {
                out << name_ << labels << " " << s->gauge_.value() << "\n";
            }
        }
    }
};

metrics_registry::metrics_registry() = default;

metrics_registry::~metrics_registry() = default;

metrics_registry::family&
metrics_registry::find_or_add_family(const std::string& name,
                                     const std::string& help, const char* type)
{
    const auto found =
        std::find_if(families_.begin(), families_.end(),
                     [&](const auto& f) { return f->name_ == name; });
    if (found != families_.end())
    {
        return **found;
    }
    families_.push_back(std::make_unique<family>());
    family& added = *families_.back();
    added.name_ = name;
    added.help_ = help;
    added.type_ = type;
    return added;
}

counter& metrics_registry::add_counter(const std::string& name,
                                       const std::string& help,
                                       const metric_labels& labels)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return find_or_add_family(name, help, "counter").add(labels).counter_;
}

gauge& metrics_registry::add_gauge(const std::string& name,
                                   const std::string& help,
                                   const metric_labels& labels)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return find_or_add_family(name, help, "gauge").add(labels).gauge_;
}

distribution& metrics_registry::add_distribution(const std::string& name,
                                                 const std::string& help,
                                                 const metric_labels& labels)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return find_or_add_family(name, help, "summary").add(labels).distribution_;
}

std::string metrics_registry::prometheus_text() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::ostringstream out;
    for (const auto& f : families_)
    {
        f->write(out);
    }
    return out.str();
}

} // namespace galenafork
