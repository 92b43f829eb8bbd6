#include <galenafork/roster.h>
#include <nlohmann/json.hpp>

namespace galenafork
{

namespace
{

using nlohmann::json;

json member_to_json(const member& m)
{
    json watchers = json::array();
    for (const instance_id& watcher : m.watchers_)
    {
        watchers.push_back(watcher.value());
    }
    return {{"instance", m.instance_.value()},
            {"incarnation", m.incarnation_.value()},
            {"data_centre", m.data_centre_.value()},
            {"packets", to_string(m.packet_endpoint_)},
            {"control", to_string(m.control_endpoint_)},
            {"slots", m.slots_.value()},
            {"state", to_string(m.state_)},
            {"watchers", watchers},
            {"watch_epoch", m.watch_epoch_.value()}};
}

tl::unexpected<error> invalid_roster(const std::string& reason)
{
    return tl::unexpected(
        error{error_code::bad_message, "cannot read roster: " + reason});
}

bool read_state(const std::string& text, member_state& state)
{
    for (const auto candidate :
         {member_state::joining, member_state::serving, member_state::draining})
    {
        if (text == to_string(candidate))
        {
            state = candidate;
            return true;
        }
    }
    return false;
}

tl::expected<member, error> member_from_json(const json& in)
{
    member m;
    m.instance_ = instance_id(in.at("instance").get<std::string>());
    m.incarnation_ = incarnation(in.at("incarnation").get<std::uint64_t>());
    m.data_centre_ = data_centre(in.at("data_centre").get<std::string>());
    m.slots_ = slot_count(in.at("slots").get<std::uint32_t>());
    const auto packets = parse_endpoint(in.at("packets").get<std::string>());
    const auto control = parse_endpoint(in.at("control").get<std::string>());
    if (!packets || !control)
    {
        return invalid_roster("invalid address of member " +
                              m.instance_.value());
    }
    m.packet_endpoint_ = *packets;
    m.control_endpoint_ = *control;
    if (!is_valid_name(m.instance_.value()) ||
        !read_state(in.at("state").get<std::string>(), m.state_))
    {
        return invalid_roster("invalid name or state of member " +
                              m.instance_.value());
    }
    m.watch_epoch_ = epoch(in.at("watch_epoch").get<std::uint64_t>());
    for (const json& watcher : in.at("watchers"))
    {
        m.watchers_.emplace_back(watcher.get<std::string>());
    }
    return m;
}

bool read_index(const json& in, std::size_t members, member_index& out)
{
    const auto value = in.get<std::uint16_t>();
    out = member_index(value);
    return out == no_member || value < members;
}

tl::expected<roster, error> read_roster(const json& in)
{
    roster r;
    r.service_ = service_name(in.at("service").get<std::string>());
    r.epoch_ = epoch(in.at("epoch").get<std::uint64_t>());
    for (const json& write : in.at("recent_writes"))
    {
        r.recent_writes_.emplace_back(write.get<std::string>());
    }
    for (const json& element : in.at("members"))
    {
        auto m = member_from_json(element);
        if (!m)
        {
            return tl::unexpected(m.error());
        }
        r.members_.push_back(std::move(*m));
    }
    for (const json& element : in.at("left"))
    {
        r.recent_departures_.push_back(instance_incarnation{
            instance_id(element.at(0).get<std::string>()),
            incarnation(element.at(1).get<std::uint64_t>())});
    }
    const json& homes = in.at("homes");
    const json& deputies = in.at("deputies");
    if (homes.size() != bucket_count || deputies.size() != bucket_count)
    {
        return invalid_roster("wrong number of homes or deputies");
    }
    for (std::size_t i = 0; i < bucket_count; ++i)
    {
        auto& bucket = r.buckets_[i];
        if (!read_index(homes[i], r.members_.size(), bucket.home_) ||
            !read_index(deputies[i], r.members_.size(), bucket.deputy_))
        {
            return invalid_roster("member index out of range");
        }
    }
    return r;
}

} // namespace

std::string to_json(const roster& r)
{
    json out{{"service", r.service_.value()},  {"epoch", r.epoch_.value()},
             {"recent_writes", json::array()}, {"members", json::array()},
             {"left", json::array()},          {"homes", json::array()},
             {"deputies", json::array()}};
    for (const instance_incarnation& departed : r.recent_departures_)
    {
        out["left"].push_back(
            {departed.instance_.value(), departed.incarnation_.value()});
    }
    for (const write_id& write : r.recent_writes_)
    {
        out["recent_writes"].push_back(write.value());
    }
    for (const member& m : r.members_)
    {
        out["members"].push_back(member_to_json(m));
    }
    for (const auto& bucket : r.buckets_)
    {
        out["homes"].push_back(bucket.home_.value());
        out["deputies"].push_back(bucket.deputy_.value());
    }
    return out.dump();
}

tl::expected<roster, error> roster_from_json(const std::string& text)
{
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object())
    {
        return invalid_roster("not a JSON object");
    }
    try
    {
        return read_roster(parsed);
    }
    catch (const json::exception& failure)
    {
        return invalid_roster(failure.what());
    }
}

} // namespace galenafork
