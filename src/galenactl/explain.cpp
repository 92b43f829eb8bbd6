#include <galenactl/commands.h>
#include <galenactl/report.h>
#include <galenafork/flow.h>
#include <galenafork/platform_setup.h>
#include <galenafork/roster.h>

namespace galenafork::ctl
{

namespace
{

std::string describe(const member* m)
{
    if (m == nullptr)
    {
        return "none";
    }
    return m->instance_.value() + " (" + to_string(m->state_) + ", " +
           m->data_centre_.value() + ", " + to_string(m->packet_endpoint_) +
           ")";
}

json member_json(const member* m)
{
    if (m == nullptr)
    {
        return nullptr;
    }
    return {{"instance", m->instance_.value()},
            {"state", to_string(m->state_)},
            {"data_centre", m->data_centre_.value()},
            {"packets", to_string(m->packet_endpoint_)}};
}

void print_explanation(const arguments& args, const flow_key& flow,
                       const rule& r, const rules_object& rules,
                       const roster& members)
{
    const bucket_id bucket = bucket_of(flow);
    const member* home = home_of(members, bucket);
    const member* deputy = deputy_of(members, bucket);
    const std::string text =
        "rule    " + to_string(r) + "   (line " + std::to_string(r.line_) +
        ", version " + std::to_string(rules.version_.value()) + ")\n" +
        "service " + r.service_.value() + ", epoch " +
        std::to_string(members.epoch_.value()) + "\n" + "bucket  " +
        std::to_string(bucket.value()) + " of " + std::to_string(bucket_count) +
        ", by the hash of caller and service address\n" + "home    " +
        describe(home) + ": opens new flows of the bucket\n" + "deputy  " +
        describe(deputy) + ": takes over if the home's lease expires\n" +
        "owner   of an open flow: recorded in the directory of the home\n";
    print(args, text,
          {{"rule", to_json(r)},
           {"line", r.line_},
           {"rules_version", rules.version_.value()},
           {"service", r.service_.value()},
           {"epoch", members.epoch_.value()},
           {"bucket", bucket.value()},
           {"home", member_json(home)},
           {"deputy", member_json(deputy)}});
}

tl::expected<roster, error> read_members(session& s, const rule& r)
{
    const auto object = s.wait(s.store().get(roster_object_name(r.service_)));
    if (!object)
    {
        return tl::unexpected(object.error());
    }
    return roster_from_json(object->value_);
}

exit_status explain_flow(const arguments& args, session& s,
                         const flow_key& flow)
{
    const auto current = read_stored_rules(s);
    if (!current)
    {
        return fail(args, current.error());
    }
    const auto rules = parse_rules_of(current->object_);
    if (!rules)
    {
        return fail(args, rules.error());
    }
    const rule* r = find_rule(*rules, flow.service_address_);
    if (r == nullptr)
    {
        return fail(args, exit_status::not_found,
                    "no rule for " + to_string(flow.service_address_) +
                        "; balancers drop packets to it");
    }
    const auto members = read_members(s, *r);
    if (!members)
    {
        return fail(args, members.error());
    }
    print_explanation(args, flow, *r, current->object_, *members);
    return exit_status::success;
}

} // namespace

exit_status explain(const arguments& args, session& s)
{
    const auto caller = parse_endpoint(args.words_[1]);
    if (!caller)
    {
        return fail(args, exit_status::usage, caller.error().message_);
    }
    const auto address = parse_endpoint(args.words_[2]);
    if (!address)
    {
        return fail(args, exit_status::usage, address.error().message_);
    }
    return explain_flow(args, s, {*caller, *address});
}

} // namespace galenafork::ctl
