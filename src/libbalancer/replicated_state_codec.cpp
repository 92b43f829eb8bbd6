#include <galenafork/replicated_state_codec.h>

#include <algorithm>

namespace galenafork
{

namespace
{

tl::unexpected<error> malformed(const char* what)
{
    return tl::unexpected(error{error_code::bad_message, what});
}

std::string text_of(capnp::Text::Reader in)
{
    return {in.begin(), in.size()};
}

/// Returns the name in `in`, or an empty one if it is not valid.
template <class Name>
Name name_of(capnp::Text::Reader in)
{
    const std::string text = text_of(in);
    return is_valid_name(text) ? Name(text) : Name();
}

void write(rpc::Life::Builder out, const instance_incarnation& value)
{
    out.setInstance(value.instance_.value().c_str());
    out.setIncarnation(value.incarnation_.value());
}

instance_incarnation read_incarnation(rpc::Life::Reader in)
{
    return {name_of<instance_id>(in.getInstance()),
            incarnation(in.getIncarnation())};
}

void write(rpc::Member::Builder out, const member& value)
{
    write(out.initLife(), {value.instance_, value.incarnation_});
    out.setDataCentre(value.data_centre_.value().c_str());
    write(out.initPackets(), value.packet_endpoint_);
    write(out.initControl(), value.control_endpoint_);
    out.setSlots(value.slots_.value());
    out.setState(static_cast<std::uint8_t>(value.state_));
}

tl::expected<member, error> read_member(rpc::Member::Reader in)
{
    const auto packets = read(in.getPackets());
    const auto control = read(in.getControl());
    const auto state = static_cast<member_state>(in.getState());
    member result;
    const instance_incarnation instance = read_incarnation(in.getLife());
    result.instance_ = instance.instance_;
    result.incarnation_ = instance.incarnation_;
    result.data_centre_ = name_of<data_centre>(in.getDataCentre());
    if (!packets || !control || state > member_state::draining ||
        result.instance_.value().empty())
    {
        return malformed(
            "member has an invalid endpoint, state or instance name");
    }
    result.packet_endpoint_ = *packets;
    result.control_endpoint_ = *control;
    result.slots_ = slot_count(in.getSlots());
    result.state_ = state;
    return result;
}

void write_lines(capnp::List<capnp::Text>::Builder out,
                 const std::vector<std::string>& lines)
{
    for (unsigned i = 0; i < out.size(); ++i)
    {
        out.set(i, lines[i].c_str());
    }
}

std::vector<std::string> read_lines(capnp::List<capnp::Text>::Reader in)
{
    std::vector<std::string> lines;
    for (const auto line : in)
    {
        lines.push_back(text_of(line));
    }
    return lines;
}

struct update_writer
{
    rpc::Update::Builder out_;

    void operator()(const active_rules& value)
    {
        auto out = out_.initRules();
        out.setVersion(value.version_.value());
        out.setText(value.text_.c_str());
        out.setRetired(format_rules(value.retired_).c_str());
    }

    void operator()(const rules_delta& value)
    {
        const text_edit& edit = value.edit_;
        auto out = out_.initRulesChange();
        out.setVersion(value.version_.value());
        out.setFirstLine(static_cast<std::uint32_t>(edit.first_line_));
        write_lines(
            out.initRemoved(static_cast<unsigned>(edit.removed_.size())),
            edit.removed_);
        write_lines(out.initAdded(static_cast<unsigned>(edit.added_.size())),
                    edit.added_);
    }

    void operator()(const roster& value)
    {
        out_.initRoster().setJson(to_json(value).c_str());
    }

    void operator()(const roster_delta& value)
    {
        auto out = out_.initChange();
        out.setService(value.service_.value().c_str());
        out.setEpoch(value.epoch_.value());
        out.setKind(static_cast<std::uint8_t>(value.change_.kind_));
        write(out.initMember(), value.change_.member_);
        out.setWrite(value.change_.write_.value().c_str());
    }

    void operator()(const expired_members_update& value)
    {
        auto out = out_.initLapsed();
        out.setService(value.service_.value().c_str());
        auto incarnations =
            out.initLives(static_cast<unsigned>(value.incarnations_.size()));
        for (unsigned i = 0; i < incarnations.size(); ++i)
        {
            write(incarnations[i], value.incarnations_[i]);
        }
    }
};

template <class T>
tl::expected<state_update, error> to_update(tl::expected<T, error>&& value)
{
    if (!value)
    {
        return tl::unexpected(value.error());
    }
    return state_update(std::move(*value));
}

tl::expected<state_update, error> read_roster_delta(rpc::Change::Reader in)
{
    const auto kind = static_cast<roster_change_kind>(in.getKind());
    auto changed = read_member(in.getMember());
    const auto service = name_of<service_name>(in.getService());
    if (!changed || kind > roster_change_kind::leave || service.value().empty())
    {
        return malformed(
            "roster change has an invalid member, kind or service name");
    }
    return roster_delta{
        service,
        epoch(in.getEpoch()),
        {kind, std::move(*changed), write_id(text_of(in.getWrite()))}};
}

tl::expected<state_update, error> read_expired_members(rpc::Lapsed::Reader in)
{
    expired_members_update result;
    result.service_ = name_of<service_name>(in.getService());
    if (result.service_.value().empty())
    {
        return malformed("expired members have an invalid service name");
    }
    for (const auto instance : in.getLives())
    {
        result.incarnations_.push_back(read_incarnation(instance));
    }
    return result;
}

} // namespace

void write(rpc::Endpoint::Builder out, const endpoint& value)
{
    out.setAddress(kj::arrayPtr(value.address_.bytes_.data(),
                                value.address_.bytes_.size()));
    out.setPort(value.port_);
}

void write(rpc::Digest::Builder out, const state_digest& value)
{
    out.setRulesVersion(value.rules_version_.value());
    auto groups = out.initGroups(digest_group_count);
    for (unsigned i = 0; i < digest_group_count; ++i)
    {
        groups.set(i, value.groups_[i]);
    }
}

void write(rpc::Versions::Builder out, const state_versions& value)
{
    out.setRulesVersion(value.rules_version_.value());
    auto groups = out.initGroups(static_cast<unsigned>(value.groups_.size()));
    for (unsigned i = 0; i < groups.size(); ++i)
    {
        groups.set(i, value.groups_[i]);
    }
    auto services =
        out.initServices(static_cast<unsigned>(value.services_.size()));
    for (unsigned i = 0; i < services.size(); ++i)
    {
        const service_version& version = value.services_[i];
        services[i].setService(version.service_.value().c_str());
        services[i].setEpoch(version.epoch_.value());
        services[i].setLapsed(version.expired_count_);
    }
}

void write(rpc::Update::Builder out, const state_update& value)
{
    std::visit(update_writer{out}, value);
}

tl::expected<endpoint, error> read(rpc::Endpoint::Reader in)
{
    endpoint result;
    const auto bytes = in.getAddress();
    if (bytes.size() != result.address_.bytes_.size())
    {
        return malformed("address is not 16 bytes long");
    }
    std::copy(bytes.begin(), bytes.end(), result.address_.bytes_.begin());
    result.port_ = in.getPort();
    return result;
}

tl::expected<state_digest, error> read(rpc::Digest::Reader in)
{
    const auto groups = in.getGroups();
    if (groups.size() != digest_group_count)
    {
        return malformed("digest has a wrong number of groups");
    }
    state_digest result;
    result.rules_version_ = rules_version(in.getRulesVersion());
    for (unsigned i = 0; i < digest_group_count; ++i)
    {
        result.groups_[i] = groups[i];
    }
    return result;
}

tl::expected<state_versions, error> read(rpc::Versions::Reader in)
{
    state_versions result;
    result.rules_version_ = rules_version(in.getRulesVersion());
    for (const std::uint16_t group : in.getGroups())
    {
        if (group >= digest_group_count)
        {
            return malformed("group number is out of range");
        }
        result.groups_.push_back(group);
    }
    for (const auto version : in.getServices())
    {
        result.services_.push_back({service_name(text_of(version.getService())),
                                    epoch(version.getEpoch()),
                                    version.getLapsed()});
    }
    return result;
}

tl::expected<state_update, error> read(rpc::Update::Reader in)
{
    switch (in.which())
    {
    case rpc::Update::RULES:
    {
        const auto rules = in.getRules();
        return to_update(make_active_rules(rules_version(rules.getVersion()),
                                           text_of(rules.getText()),
                                           text_of(rules.getRetired())));
    }
    case rpc::Update::RULES_CHANGE:
    {
        const auto change = in.getRulesChange();
        return rules_delta{rules_version(change.getVersion()),
                           {change.getFirstLine(),
                            read_lines(change.getRemoved()),
                            read_lines(change.getAdded())}};
    }
    case rpc::Update::ROSTER:
        return to_update(roster_from_json(text_of(in.getRoster().getJson())));
    case rpc::Update::CHANGE:
        return read_roster_delta(in.getChange());
    case rpc::Update::LAPSED:
        return read_expired_members(in.getLapsed());
    }
    return malformed("unknown kind of update");
}

} // namespace galenafork
