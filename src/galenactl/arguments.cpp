#include <galenactl/arguments.h>

#include <galenafork/program_options.h>
#include <galenafork/settings.h>

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

namespace galenafork::ctl
{

namespace
{

namespace po = boost::program_options;

constexpr const char* commands_text =
    R"(Commands:
  rules check FILE           check a rule file for errors, without the platform
  rules apply FILE           make the rules of a file the active rules
  rules show                 print the active rules, or those --at a version
  rules history              list the accepted versions
  status [SERVICE]           list instances, their states and buckets
  drain SERVICE INSTANCE     stop new flows to an instance
  undrain SERVICE INSTANCE   allow new flows to a draining instance again
  explain CALLER ADDRESS     show the rule, bucket, home and deputy of a flow
                             from CALLER (IP:PORT) to the service address
                             ADDRESS (IP:PORT)
  flow FLOW LOG...           print the log lines about a passthrough flow in
                             order of time, without the platform (FLOW is
                             CALLER>ADDRESS#SEQUENCE or the part before > or #;
                             a LOG of - is standard input)
)";

constexpr const char* exit_text =
    R"(Exit codes:
  0  the command succeeded, or there was nothing to do
  1  a call to the platform failed or returned invalid data; nothing was changed
  2  the command line is invalid
  3  the settings file is invalid or cannot be read
  4  the rule file has errors or cannot be read; nothing was changed
  5  not accepted: conflict with another change; nothing was changed
  6  unknown: it could not be determined whether the change took effect
  7  the service, instance, rule, version or flow was not found
)";

struct ctl_settings
{
    endpoint platform_;
    duration deadline_ = std::chrono::seconds(5);
};

constexpr duration min_deadline = std::chrono::milliseconds(100);
constexpr duration max_deadline = std::chrono::minutes(5);

void read_settings(settings_section& top, ctl_settings& settings)
{
    auto platform = top.section("platform");
    platform.required("address", settings.platform_);
    platform.optional("deadline", settings.deadline_,
                      {min_deadline, max_deadline});
    platform.report_unknown_keys();
}

struct raw_options
{
    arguments arguments_;
    std::string platform_;
    std::string config_;
};

tl::unexpected<exit_status> usage_error(const std::string& reason)
{
    std::cerr << "galenactl: " << reason << '\n' << usage_line() << '\n';
    return tl::unexpected(exit_status::usage);
}

std::string login_name()
{
    for (const char* variable : {"GALENA_AUTHOR", "LOGNAME", "USER"})
    {
        // Safe because the program has one thread, which does not change the
        // environment.
        const char* name = std::getenv(variable);
        if (name != nullptr && *name != '\0')
        {
            return name;
        }
    }
    return "unknown";
}

po::options_description visible_options(raw_options& raw)
{
    po::options_description options("Options");
    auto add = options.add_options();
    add("platform", po::value(&raw.platform_)->value_name("IP:PORT"),
        "address of the platform");
    add("config", po::value(&raw.config_)->value_name("FILE"),
        "settings file with [platform] address and deadline");
    add("author", po::value(&raw.arguments_.author_)->value_name("NAME"),
        "author of the change (default: the login name)");
    add("base", po::value<std::uint64_t>()->value_name("VERSION"),
        "rules apply: refuse unless this version is active");
    add("at", po::value<std::uint64_t>()->value_name("VERSION"),
        "rules show: print this version");
    add("new-services", po::bool_switch(&raw.arguments_.new_services_),
        "rules apply: accept services that no instance has joined yet");
    add("json", po::bool_switch(&raw.arguments_.json_), "print JSON");
    add("help", "print this text");
    add("version", "print the version");
    return options;
}

po::variables_map parse(int argc, const char* const* argv, raw_options& raw,
                        const po::options_description& visible)
{
    po::options_description all;
    all.add(visible);
    all.add_options()("word", po::value(&raw.arguments_.words_));
    po::positional_options_description words;
    words.add("word", -1);
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv)
                  .options(all)
                  .positional(words)
                  .run(),
              values);
    po::notify(values);
    return values;
}

std::optional<std::uint64_t> number_option(const po::variables_map& values,
                                           const char* name)
{
    if (values.count(name) == 0)
    {
        return std::nullopt;
    }
    return values[name].as<std::uint64_t>();
}

tl::expected<void, exit_status> read_config(raw_options& raw)
{
    const auto text = read_text_file(raw.config_);
    if (!text)
    {
        print_error(text.error().message_);
        return tl::unexpected(exit_status::bad_settings);
    }
    const auto settings = settings_from_text<ctl_settings>(*text);
    if (!settings)
    {
        print_error(format_settings_errors(raw.config_, settings.error()));
        return tl::unexpected(exit_status::bad_settings);
    }
    raw.arguments_.platform_ = settings->platform_;
    raw.arguments_.deadline_ms_ = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            settings->deadline_)
            .count());
    return {};
}

tl::expected<arguments, exit_status> complete_arguments(raw_options& raw)
{
    if (!raw.config_.empty())
    {
        if (const auto read = read_config(raw); !read)
        {
            return tl::unexpected(read.error());
        }
    }
    if (!raw.platform_.empty())
    {
        const auto address = parse_endpoint(raw.platform_);
        if (!address)
        {
            return usage_error("--platform: " + address.error().message_);
        }
        raw.arguments_.platform_ = *address;
    }
    if (raw.arguments_.author_.empty())
    {
        raw.arguments_.author_ = login_name();
    }
    return std::move(raw.arguments_);
}

} // namespace

std::string usage_line()
{
    return "usage: galenactl [--platform IP:PORT] [--json] COMMAND [OPERAND...]"
           "   (galenactl --help lists the commands)";
}

tl::expected<arguments, exit_status> read_arguments(int argc,
                                                    const char* const* argv)
{
    raw_options raw;
    const po::options_description visible = visible_options(raw);
    try
    {
        const po::variables_map values = parse(argc, argv, raw, visible);
        if (values.count("help") != 0)
        {
            std::cout << usage_line() << "\n\n"
                      << commands_text << '\n'
                      << visible << '\n'
                      << exit_text;
            return tl::unexpected(exit_status::success);
        }
        if (values.count("version") != 0)
        {
            std::cout << "galenactl " << GALENA_VERSION << '\n';
            return tl::unexpected(exit_status::success);
        }
        raw.arguments_.base_ = number_option(values, "base");
        raw.arguments_.version_ = number_option(values, "at");
    }
    catch (const po::error& e)
    {
        return usage_error(e.what());
    }
    return complete_arguments(raw);
}

} // namespace galenafork::ctl
