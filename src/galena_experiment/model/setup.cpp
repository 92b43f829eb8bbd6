#include "setup.h"

#include "setup_reader.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <set>
#include <utility>

namespace galenafork::pvt
{

namespace
{

constexpr std::uint32_t most_servers = 64;
constexpr std::uint32_t most_slots = 1024;
constexpr std::uint32_t most_retries = 10;
constexpr double most_load = 10;
constexpr double most_requests = 1e5;
constexpr double most_factor = 100;

constexpr std::array<std::pair<const char*, fault_kind>, 10> fault_names{{
    {"none", fault_kind::none},
    {"cold_start", fault_kind::cold_start},
    {"drain", fault_kind::drain},
    {"slow_upstream", fault_kind::slow_upstream},
    {"report_lags", fault_kind::report_lags},
    {"report_zero", fault_kind::report_zero},
    {"report_inverted", fault_kind::report_inverted},
    {"report_full", fault_kind::report_full},
    {"member_lost", fault_kind::member_lost},
    {"data_centre_leaves", fault_kind::data_centre_leaves},
}};

constexpr std::array<std::pair<const char*, deputy_rule>, 2> deputy_names{{
    {"spread", deputy_rule::spread},
    {"neighbour", deputy_rule::neighbour},
}};

void read_name(table_reader& reader, std::string& name)
{
    reader.require("name");
    reader.read("name", name);
    if (!name.empty() && !is_valid_name(name))
    {
        reader.fault("name", "may hold a-z, 0-9 and - only");
    }
}

void expect_above_zero(table_reader& reader, const char* key, duration value)
{
    if (value <= duration(0))
    {
        reader.fault(key, "must be above 0");
    }
}

void read_service(table_reader reader, experiment_setup& setup)
{
    service_setup s;
    read_name(reader, s.name_);
    reader.require("servers_per_data_centre");
    reader.read("servers_per_data_centre", s.servers_per_data_centre_, 0,
                most_servers);
    std::uint32_t slots = 1;
    reader.require("slots");
    reader.read("slots", slots, 1, most_slots);
    s.slots_ = slot_count(slots);
    reader.require("request_cost_ms");
    reader.read("request_cost_ms", s.request_cost_);
    expect_above_zero(reader, "request_cost_ms", s.request_cost_);
    reader.read("flow_min_requests", s.flow_min_requests_, 1, most_requests);
    reader.read("flow_max_requests", s.flow_max_requests_, 1, most_requests);
    reader.read("flow_tail", s.flow_tail_, 0.1, 10);
    reader.read("bucket_skew", s.bucket_skew_, 0, 10);
    reader.read("think_time_ms", s.think_time_);
    reader.require("deadline_ms");
    reader.read("deadline_ms", s.deadline_);
    if (s.flow_max_requests_ < s.flow_min_requests_)
    {
        reader.fault("flow_max_requests", "is below flow_min_requests");
    }
    if (!s.servers_per_data_centre_.empty() && member_count(s) < 2)
    {
        reader.fault("servers_per_data_centre", "must name two servers");
    }
    reader.finish();
    setup.services_.push_back(std::move(s));
}

// Reads one of the `names`; absent, `value` stays.
template <class Value, std::size_t Count>
void read_choice(table_reader& reader, const char* key,
                 const std::array<std::pair<const char*, Value>, Count>& names,
                 Value& value)
{
    std::string name;
    reader.read(key, name);
    const auto found =
        std::find_if(names.begin(), names.end(),
                     [&](const auto& entry) { return name == entry.first; });
    if (found != names.end())
    {
        value = found->second;
    }
    else if (!name.empty())
    {
        reader.fault(key, "knows no '" + name + "'");
    }
}

void read_scenario(table_reader reader, experiment_setup& setup)
{
    scenario s;
    read_name(reader, s.name_);
    reader.require("load");
    reader.read("load", s.load_, 0.001, most_load);
    read_choice(reader, "fault", fault_names, s.fault_);
    reader.read("fault_at_ms", s.fault_at_);
    reader.read("caller_retries", s.caller_retries_, 0, most_retries);
    reader.read("callers_ignore_hint", s.callers_ignore_hint_);
    reader.finish();
    setup.scenarios_.push_back(std::move(s));
}

void read_network(table_reader reader, network_setup& network)
{
    reader.read("within_data_centre_ms", network.within_data_centre_);
    reader.read("between_data_centres_ms", network.between_data_centres_);
    reader.read("caller_ms", network.caller_);
    reader.finish();
}

void read_run(table_reader reader, run_setup& run)
{
    reader.read("warm_up_ms", run.warm_up_);
    reader.read("length_ms", run.length_);
    reader.read("heartbeat_interval_ms", run.heartbeat_interval_);
    reader.read("smoothing_ms", run.smoothing_);
    reader.read("roster_delay_ms", run.roster_delay_);
    reader.read("takeover_delay_ms", run.takeover_delay_);
    read_choice(reader, "deputies", deputy_names, run.deputies_);
    reader.read("retransmit_timeout_ms", run.retransmit_timeout_);
    reader.read("hint_unit_ms", run.hint_unit_);
    expect_above_zero(reader, "heartbeat_interval_ms", run.heartbeat_interval_);
    expect_above_zero(reader, "hint_unit_ms", run.hint_unit_);
    reader.finish();
}

void read_faults(table_reader reader, fault_setup& faults)
{
    reader.read("cold_cost_factor", faults.cold_cost_factor_, 1, most_factor);
    reader.read("cold_length_ms", faults.cold_length_);
    reader.read("slow_cost_factor", faults.slow_cost_factor_, 1, most_factor);
    reader.read("report_lag_ms", faults.report_lag_);
    expect_above_zero(reader, "cold_length_ms", faults.cold_length_);
    reader.finish();
}

void read_policy(table_reader reader, load_settings& policy)
{
    auto& place = policy.placement_;
    reader.read("home_margin", place.home_margin_, 0, 1e6);
    reader.read("locality_margin", place.locality_margin_, 0, 1e6);
    reader.read("report_influence", place.report_influence_, 0, 1);
    reader.read("local_correction", place.local_correction_);
    reader.read("slowness_tolerance", place.slowness_tolerance_, 1, 1e6);
    reader.read("slowness_limit", place.slowness_limit_, 1, 1e6);
    reader.read("slow_start_floor", policy.slow_start_.floor_, 0, 1);
    reader.read("slow_start_length_ms", policy.slow_start_.length_);
    reader.read("queue_per_slot", policy.admission_.queue_per_slot_, 0, 1e6);
    reader.read("max_wait_ms", policy.admission_.max_wait_);
    reader.read("min_retry_after_ms", policy.admission_.min_retry_after_);
    reader.read("max_retry_after_ms", policy.admission_.max_retry_after_);
    reader.read("retry_ratio", policy.retry_.retry_ratio_, 0, 1);
    reader.read("retry_burst", policy.retry_.retry_burst_, 1, 1e6);
    reader.read("request_time_limit_ms", policy.deadline_.request_time_limit_);
    reader.read("return_time_ms", policy.deadline_.return_time_);
    for (const std::string& sentence : validation_errors(policy))
    {
        reader.fault("policy", sentence);
    }
    reader.finish();
}

// Notes each name that stands twice in `list`.
template <class Item>
void expect_distinct_names(const std::vector<Item>& list, const char* kind,
                           fault_list& faults)
{
    std::set<std::string> seen;
    for (const Item& item : list)
    {
        if (!seen.insert(item.name_).second)
        {
            faults.add(1,
                       std::string(kind) + " " + item.name_ + " stands twice");
        }
    }
}

// Calls `read` with the table `key`, if there is one.
template <class Read>
void with_table(const toml::table& root, const char* key, fault_list& faults,
                Read read)
{
    const toml::node* node = root.get(key);
    if (node == nullptr)
    {
        return;
    }
    if (!node->is_table())
    {
        faults.add(node->source().begin.line,
                   std::string(key) + " must be a table");
        return;
    }
    read(table_reader(*node->as_table(), faults));
}

// Calls `read` with each table of the array of tables `key`.
template <class Read>
void with_tables(const toml::table& root, const char* key, fault_list& faults,
                 Read read)
{
    const toml::node* node = root.get(key);
    if (node == nullptr || !node->is_array_of_tables())
    {
        faults.add(node == nullptr ? 1 : node->source().begin.line,
                   std::string("at least one [[") + key + "]] is needed");
        return;
    }
    for (const toml::node& entry : *node->as_array())
    {
        read(table_reader(*entry.as_table(), faults));
    }
}

void read_tables(const toml::table& root, experiment_setup& setup,
                 fault_list& faults)
{
    with_tables(root, "service", faults,
                [&](table_reader r) { read_service(std::move(r), setup); });
    with_tables(root, "scenario", faults,
                [&](table_reader r) { read_scenario(std::move(r), setup); });
    with_table(root, "network", faults,
               [&](table_reader r)
               { read_network(std::move(r), setup.network_); });
    with_table(root, "run", faults,
               [&](table_reader r) { read_run(std::move(r), setup.run_); });
    with_table(root, "faults", faults,
               [&](table_reader r)
               { read_faults(std::move(r), setup.faults_); });
    with_table(root, "policy", faults,
               [&](table_reader r)
               { read_policy(std::move(r), setup.policy_); });
    expect_distinct_names(setup.services_, "service", faults);
    expect_distinct_names(setup.scenarios_, "scenario", faults);
    table_reader top(root, faults);
    for (const char* key :
         {"service", "scenario", "network", "run", "faults", "policy"})
    {
        top.expect(key);
    }
    top.finish();
}

} // namespace

tl::expected<experiment_setup, std::vector<std::string>>
read_setup(const std::string& path)
{
    fault_list faults(path);
    experiment_setup setup;
    try
    {
        read_tables(toml::parse_file(path), setup, faults);
    }
    catch (const toml::parse_error& e)
    {
        faults.add(e.source().begin.line, std::string(e.description()));
    }
    if (!faults.empty())
    {
        return tl::unexpected(faults.sorted());
    }
    return setup;
}

std::size_t member_count(const service_setup& service)
{
    return std::accumulate(service.servers_per_data_centre_.begin(),
                           service.servers_per_data_centre_.end(),
                           std::size_t{0});
}

double capacity(const service_setup& service)
{
    const double slots =
        static_cast<double>(member_count(service)) * service.slots_.value();
    return slots * 1e6 / static_cast<double>(service.request_cost_.count());
}

} // namespace galenafork::pvt
