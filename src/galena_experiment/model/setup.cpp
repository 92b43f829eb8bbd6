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

constexpr std::uint32_t max_servers_per_data_centre = 64;
constexpr std::uint32_t max_slots_per_server = 1024;
constexpr std::uint32_t max_caller_retries = 10;
constexpr double max_load = 10;
constexpr double max_flow_requests = 1e5;
constexpr double max_cost_factor = 100;

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

constexpr std::array<std::pair<const char*, deputy_assignment>, 2>
    deputy_assignment_names{{
        {"spread", deputy_assignment::spread},
        {"neighbour", deputy_assignment::neighbour},
    }};

void read_name(table_reader& reader, std::string& name)
{
    reader.require("name");
    reader.read("name", name);
    if (!name.empty() && !is_valid_name(name))
    {
        reader.add_error("name", "must be 1 to 63 of a-z, 0-9 and -");
    }
}

void require_positive(table_reader& reader, const char* key, duration value)
{
    if (value <= duration(0))
    {
        reader.add_error(key, "must be above 0");
    }
}

void read_service(table_reader reader, experiment_setup& setup)
{
    service_setup s;
    read_name(reader, s.name_);
    reader.require("servers_per_data_centre");
    reader.read("servers_per_data_centre", s.servers_per_data_centre_, 0,
                max_servers_per_data_centre);
    std::uint32_t slots = 1;
    reader.require("slots");
    reader.read("slots", slots, 1, max_slots_per_server);
    s.slots_ = slot_count(slots);
    reader.require("request_cost_ms");
    reader.read("request_cost_ms", s.request_cost_);
    require_positive(reader, "request_cost_ms", s.request_cost_);
    reader.read("flow_min_requests", s.flow_min_requests_, 1,
                max_flow_requests);
    reader.read("flow_max_requests", s.flow_max_requests_, 1,
                max_flow_requests);
    reader.read("flow_tail", s.flow_tail_, 0.1, 10);
    reader.read("bucket_skew", s.bucket_skew_, 0, 10);
    reader.read("think_time_ms", s.think_time_);
    reader.require("deadline_ms");
    reader.read("deadline_ms", s.deadline_);
    if (s.flow_max_requests_ < s.flow_min_requests_)
    {
        reader.add_error("flow_max_requests",
                         "must not be below flow_min_requests");
    }
    if (!s.servers_per_data_centre_.empty() && member_count(s) < 2)
    {
        reader.add_error("servers_per_data_centre",
                         "must add up to at least two servers");
    }
    reader.report_unknown_keys();
    setup.services_.push_back(std::move(s));
}

// Sets `value` to the one that `names` gives for the string at `key`. Leaves
// `value` as it is if `key` is absent.
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
        reader.add_error(key, "has unknown value '" + name + "'");
    }
}

void read_scenario(table_reader reader, experiment_setup& setup)
{
    scenario s;
    read_name(reader, s.name_);
    reader.require("load");
    reader.read("load", s.load_, 0.001, max_load);
    read_choice(reader, "fault", fault_names, s.fault_);
    reader.read("fault_at_ms", s.fault_at_);
    reader.read("caller_retries", s.caller_retries_, 0, max_caller_retries);
    reader.read("callers_ignore_hint", s.callers_ignore_hint_);
    reader.report_unknown_keys();
    setup.scenarios_.push_back(std::move(s));
}

void read_network(table_reader reader, network_setup& network)
{
    reader.read("within_data_centre_ms", network.within_data_centre_);
    reader.read("between_data_centres_ms", network.between_data_centres_);
    reader.read("caller_ms", network.caller_);
    reader.report_unknown_keys();
}

void read_run(table_reader reader, run_setup& run)
{
    reader.read("warm_up_ms", run.warm_up_);
    reader.read("length_ms", run.length_);
    reader.read("heartbeat_interval_ms", run.heartbeat_interval_);
    reader.read("smoothing_ms", run.smoothing_time_constant_);
    reader.read("roster_delay_ms", run.roster_delay_);
    reader.read("takeover_delay_ms", run.takeover_delay_);
    read_choice(reader, "deputies", deputy_assignment_names, run.deputies_);
    reader.read("retransmit_timeout_ms", run.retransmit_timeout_);
    reader.read("hint_unit_ms", run.hint_unit_);
    require_positive(reader, "heartbeat_interval_ms", run.heartbeat_interval_);
    require_positive(reader, "hint_unit_ms", run.hint_unit_);
    reader.report_unknown_keys();
}

void read_faults(table_reader reader, fault_setup& faults)
{
    reader.read("cold_cost_factor", faults.cold_cost_factor_, 1,
                max_cost_factor);
    reader.read("cold_length_ms", faults.cold_length_);
    reader.read("slow_cost_factor", faults.slow_cost_factor_, 1,
                max_cost_factor);
    reader.read("report_lag_ms", faults.report_lag_);
    require_positive(reader, "cold_length_ms", faults.cold_length_);
    reader.report_unknown_keys();
}

void read_policy(table_reader reader, load_settings& policy)
{
    auto& placement = policy.placement_;
    reader.read("home_margin", placement.home_margin_, 0, 1e6);
    reader.read("locality_margin", placement.locality_margin_, 0, 1e6);
    reader.read("report_influence", placement.report_influence_, 0, 1);
    reader.read("local_correction", placement.local_correction_);
    reader.read("slowness_tolerance", placement.slowness_tolerance_, 1, 1e6);
    reader.read("slowness_limit", placement.slowness_limit_, 1, 1e6);
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
    for (const std::string& message : validation_errors(policy))
    {
        reader.add_error("policy", message);
    }
    reader.report_unknown_keys();
}

// Adds an error for each repeated name in `list`.
template <class Item>
void require_unique_names(const std::vector<Item>& list, const char* kind,
                          setup_errors& errors)
{
    std::set<std::string> seen;
    for (const Item& item : list)
    {
        if (!seen.insert(item.name_).second)
        {
            errors.add(1, std::string(kind) + " " + item.name_ +
                              " is defined more than once");
        }
    }
}

// Calls `read` with the table at `key`, if there is one.
template <class Read>
void read_table(const toml::table& root, const char* key, setup_errors& errors,
                Read read)
{
    const toml::node* node = root.get(key);
    if (node == nullptr)
    {
        return;
    }
    if (!node->is_table())
    {
        errors.add(node->source().begin.line,
                   std::string(key) + " must be a table");
        return;
    }
    read(table_reader(*node->as_table(), errors));
}

// Calls `read` with each table of the array of tables at `key`; the array must
// be present.
template <class Read>
void read_array_of_tables(const toml::table& root, const char* key,
                          setup_errors& errors, Read read)
{
    const toml::node* node = root.get(key);
    if (node == nullptr || !node->is_array_of_tables())
    {
        errors.add(node == nullptr ? 1 : node->source().begin.line,
                   std::string("at least one [[") + key +
                       "]] table is required");
        return;
    }
    for (const toml::node& entry : *node->as_array())
    {
        read(table_reader(*entry.as_table(), errors));
    }
}

void read_tables(const toml::table& root, experiment_setup& setup,
                 setup_errors& errors)
{
    read_array_of_tables(root, "service", errors,
                         [&](table_reader r)
                         { read_service(std::move(r), setup); });
    read_array_of_tables(root, "scenario", errors,
                         [&](table_reader r)
                         { read_scenario(std::move(r), setup); });
    read_table(root, "network", errors,
               [&](table_reader r)
               { read_network(std::move(r), setup.network_); });
    read_table(root, "run", errors,
               [&](table_reader r) { read_run(std::move(r), setup.run_); });
    read_table(root, "faults", errors,
               [&](table_reader r)
               { read_faults(std::move(r), setup.faults_); });
    read_table(root, "policy", errors,
               [&](table_reader r)
               { read_policy(std::move(r), setup.policy_); });
    require_unique_names(setup.services_, "service", errors);
    require_unique_names(setup.scenarios_, "scenario", errors);
    table_reader top(root, errors);
    for (const char* key :
         {"service", "scenario", "network", "run", "faults", "policy"})
    {
        top.allow(key);
    }
    top.report_unknown_keys();
}

} // namespace

tl::expected<experiment_setup, std::vector<std::string>>
read_setup(const std::string& path)
{
    setup_errors errors(path);
    experiment_setup setup;
    try
    {
        read_tables(toml::parse_file(path), setup, errors);
    }
    catch (const toml::parse_error& e)
    {
        errors.add(e.source().begin.line, std::string(e.description()));
    }
    if (!errors.empty())
    {
        return tl::unexpected(errors.sorted());
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
