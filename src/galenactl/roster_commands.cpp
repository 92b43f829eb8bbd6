#include <galenactl/commands.h>
#include <galenactl/report.h>
#include <galenafork/platform_setup.h>
#include <galenafork/roster.h>

#include <algorithm>

namespace galenafork::ctl
{

namespace
{

// Maximum number of attempts to change a roster. An attempt fails if another
// writer changes the roster at the same time.
constexpr int max_attempts = 10;

struct stored_roster
{
    object_version version_;
    roster roster_;
};

tl::expected<stored_roster, error> to_roster(const platform_object& object)
{
    auto parsed = roster_from_json(object.value_);
    if (!parsed)
    {
        return tl::unexpected(std::move(parsed.error()));
    }
    return stored_roster{object.version_, std::move(*parsed)};
}

tl::expected<stored_roster, error> read_roster(session& s,
                                               const std::string& name)
{
    const auto object = s.wait(s.store().get(name));
    if (!object)
    {
        return tl::unexpected(object.error());
    }
    return to_roster(*object);
}

struct bucket_counts
{
    std::size_t home_ = 0;
    std::size_t deputy_ = 0;
};

bucket_counts count_buckets(const roster& r, std::size_t index)
{
    bucket_counts counts;
    const member_index wanted(static_cast<std::uint16_t>(index));
    for (const bucket_assignment& b : r.buckets_)
    {
        counts.home_ += b.home_ == wanted ? 1 : 0;
        counts.deputy_ += b.deputy_ == wanted ? 1 : 0;
    }
    return counts;
}

json watchers_json(const member& m)
{
    json watchers = json::array();
    for (const instance_id& w : m.watchers_)
    {
        watchers.push_back(w.value());
    }
    return watchers;
}

void add_service(const roster& r, std::string& text, json& list)
{
    text += r.service_.value() + "  epoch " + std::to_string(r.epoch_.value()) +
            "\n";
    json members = json::array();
    for (std::size_t i = 0; i < r.members_.size(); ++i)
    {
        const member& m = r.members_[i];
        const bucket_counts counts = count_buckets(r, i);
        text += "  " + m.instance_.value() + "  " + to_string(m.state_) + "  " +
                m.data_centre_.value() + "  slots " +
                std::to_string(m.slots_.value()) + "  home of " +
                std::to_string(counts.home_) + "  deputy of " +
                std::to_string(counts.deputy_) + "  " +
                to_string(m.packet_endpoint_) + "\n";
        members.push_back({{"instance", m.instance_.value()},
                           {"incarnation", m.incarnation_.value()},
                           {"state", to_string(m.state_)},
                           {"data_centre", m.data_centre_.value()},
                           {"slots", m.slots_.value()},
                           {"home_buckets", counts.home_},
                           {"deputy_buckets", counts.deputy_},
                           {"packets", to_string(m.packet_endpoint_)},
                           {"control", to_string(m.control_endpoint_)},
                           {"watchers", watchers_json(m)}});
    }
    list.push_back({{"service", r.service_.value()},
                    {"epoch", r.epoch_.value()},
                    {"members", std::move(members)}});
}

tl::expected<std::vector<std::string>, error>
roster_names(const arguments& args, session& s)
{
    if (args.words_.size() > 1)
    {
        return std::vector<std::string>{
            roster_object_name(service_name(args.words_[1]))};
    }
    const auto entries = s.wait(s.store().list(roster_object_prefix));
    if (!entries)
    {
        return tl::unexpected(entries.error());
    }
    std::vector<std::string> names;
    names.reserve(entries->size());
    for (const object_entry& entry : *entries)
    {
        names.push_back(entry.name_);
    }
    return names;
}

struct state_change
{
    roster_change_kind kind_;
    member_state new_state_;
};

exit_status report_done(const arguments& args, const char* outcome,
                        const roster& r, member_state state)
{
    const std::string& service = args.words_[1];
    const std::string& instance = args.words_[2];
    print(args,
          std::string(outcome) + ": " + instance + " of " + service + " is " +
              to_string(state) + " as of epoch " +
              std::to_string(r.epoch_.value()) + "\n",
          {{"outcome", outcome},
           {"service", service},
           {"instance", instance},
           {"state", to_string(state)},
           {"epoch", r.epoch_.value()}});
    return exit_status::success;
}

exit_status report_missing(const arguments& args)
{
    return fail(args, exit_status::not_found,
                "service " + args.words_[1] + " has no instance " +
                    args.words_[2]);
}

exit_status report_outcome(const arguments& args, exit_status status,
                           const char* outcome, const std::string& reason)
{
    print(args, std::string(outcome) + ": " + reason + "\n",
          {{"outcome", outcome}, {"reason", reason}});
    return status;
}

// Reads the roster and writes it conditionally, once. Returns nothing if
// another writer changed the roster in between; the change can then be tried
// again, since it does not depend on other changes.
std::optional<exit_status> try_change(const arguments& args, session& s,
                                      const state_change& requested)
{
    const std::string name = roster_object_name(service_name(args.words_[1]));
    const auto current = read_roster(s, name);
    if (!current)
    {
        return fail(args, current.error());
    }
    const member* m =
        find_member(current->roster_, instance_id(args.words_[2]));
    if (m == nullptr)
    {
        return report_missing(args);
    }
    if (m->state_ == requested.new_state_)
    {
        return report_done(args, "unchanged", current->roster_, m->state_);
    }
    const roster_change change{requested.kind_, *m, s.new_write_id()};
    const auto next = apply(current->roster_, change);
    if (!next)
    {
        return report_outcome(args, exit_status::not_accepted, "not_accepted",
                              next.error().message_);
    }
    const auto result = s.wait(s.store().put_if(
        {name, current->version_, to_json(*next), change.write_}));
    if (result.outcome_ == write_outcome::accepted)
    {
        return report_done(args, "accepted", *next, requested.new_state_);
    }
    if (result.outcome_ == write_outcome::unknown)
    {
        return report_outcome(args, exit_status::unknown, "unknown",
                              result.reason_.message_ +
                                  "; running the same command again is safe");
    }
    if (result.reason_.code_ == error_code::conflict)
    {
        return std::nullopt;
    }
    return report_outcome(args, exit_status::failure, "not_accepted",
                          result.reason_.message_);
}

exit_status change_state(const arguments& args, session& s,
                         const state_change& requested)
{
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        if (const auto status = try_change(args, s, requested))
        {
            return *status;
        }
    }
    return report_outcome(
        args, exit_status::not_accepted, "not_accepted",
        "another change of the roster came first in every attempt");
}

} // namespace

exit_status show_status(const arguments& args, session& s)
{
    const auto names = roster_names(args, s);
    if (!names)
    {
        return fail(args, names.error());
    }
    std::string text;
    json services = json::array();
    for (const std::string& name : *names)
    {
        const auto current = read_roster(s, name);
        if (!current)
        {
            return fail(args, current.error());
        }
        add_service(current->roster_, text, services);
    }
    print(args, text, {{"services", std::move(services)}});
    return exit_status::success;
}

exit_status drain(const arguments& args, session& s)
{
    return change_state(args, s,
                        {roster_change_kind::drain, member_state::draining});
}

exit_status undrain(const arguments& args, session& s)
{
    return change_state(args, s,
                        {roster_change_kind::undrain, member_state::serving});
}

} // namespace galenafork::ctl
