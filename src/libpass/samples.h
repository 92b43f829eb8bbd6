/// \file
/// Sample segments, messages, agents and balancers for the tests of passthrough
/// flows.

#ifndef LIBPASS_SAMPLES_H
#define LIBPASS_SAMPLES_H

#include <galenafork/pass_agent.h>
#include <galenafork/pass_balancer.h>

#include <algorithm>

namespace galenafork::samples
{

inline const host_address agent_a(0x0a000001);
inline const host_address agent_b(0x0a000002);
inline const host_address agent_c(0x0a000003);
inline const host_address balancer_x(0x0a010001);
inline const service_name orders("orders");
inline const service_name photos("photos");
inline const instant start{std::chrono::seconds(1000)};

inline flow_key make_flow(std::uint16_t port)
{
    return {{make_v4(100, 64, 0, 1), port}, {make_v4(198, 18, 0, 1), 443}};
}

inline segment_header make_opening(std::uint16_t port)
{
    segment_header s;
    s.flow_ = make_flow(port);
    s.opens_ = true;
    s.sequence_ = 500;
    return s;
}

/// Returns the caller's request on a flow whose upstream answered the opening
/// segment with sequence number `sequence`.
inline segment_header make_request(std::uint16_t port, std::uint32_t sequence)
{
    segment_header s;
    s.flow_ = make_flow(port);
    s.acknowledges_ = true;
    s.sequence_ = 501;
    s.ack_number_ = sequence + 1;
    s.data_bytes_ = 100;
    return s;
}

inline segment_header make_opening_answer(std::uint16_t port,
                                          std::uint32_t sequence)
{
    segment_header s;
    s.flow_ = make_flow(port);
    s.opens_ = true;
    s.acknowledges_ = true;
    s.sequence_ = sequence;
    return s;
}

/// Returns the answer of an upstream whose answer to the opening segment had
/// sequence number `sequence`.
inline segment_header make_answer(std::uint16_t port,
                                  std::uint32_t sequence = 9000)
{
    segment_header s;
    s.flow_ = make_flow(port);
    s.acknowledges_ = true;
    s.sequence_ = sequence + 1;
    s.data_bytes_ = 400;
    return s;
}

inline const std::vector<std::uint8_t> sample_packet{1, 2, 3, 4};

inline byte_view sample_bytes()
{
    return {sample_packet.data(), sample_packet.size()};
}

inline place_message make_place(std::vector<host_address> candidates = {})
{
    place_message m;
    m.packet_ = sample_packet;
    m.service_ = orders;
    m.version_ = pass_rules_version(7);
    m.balancer_ = balancer_x;
    m.candidates_ = std::move(candidates);
    m.priority_ = 2;
    m.latency_target_ = std::chrono::milliseconds(150);
    return m;
}

inline upstream_report make_report(std::uint64_t started = 1000,
                                   std::uint64_t sequence = 1)
{
    upstream_report r;
    r.instance_ = instance_id("i-1");
    r.service_ = orders;
    r.data_centre_ = data_centre("a");
    r.slots_ = slot_count(2);
    r.state_ = upstream_state::ready;
    r.started_ = start_time_ms(started);
    r.started_monotonic_ = start + std::chrono::milliseconds(started) -
                           std::chrono::milliseconds(1000);
    r.sequence_ = sequence;
    return r;
}

/// Returns an agent whose upstream has two slots and has reported that it is
/// ready. The agent was running when its upstream started.
inline pass_agent_state make_agent(host_address host = agent_a)
{
    pass_agent_settings settings;
    settings.host_ = host;
    pass_agent_state state = new_pass_agent(settings, start);
    pass_actions out;
    apply_report(state, make_report(), start, out);
    state.saw_upstream_start_ = true;
    return state;
}

/// Returns an agent that does not know whether its upstream, which is ready,
/// has flows from before the agent's start.
inline pass_agent_state make_restarted_agent()
{
    pass_agent_state state = make_agent();
    state.saw_upstream_start_ = false;
    return state;
}

/// Opens a flow and sends its request, which then runs at the upstream.
inline void open_flow(pass_agent_state& state, std::uint16_t port, instant now)
{
    pass_actions out;
    handle_place(state, make_place(), make_opening(port), now, out);
    handle_upstream_segment(state, make_opening_answer(port, 9000),
                            sample_bytes(), now, out);
    handle_caller_segment(state, make_request(port, 9000), sample_bytes(),
                          balancer_x, now, out);
}

inline std::size_t count(const pass_actions& out, pass_target target)
{
    return static_cast<std::size_t>(
        std::count_if(out.datagrams_.begin(), out.datagrams_.end(),
                      [&](const pass_datagram& datagram)
                      { return datagram.target_ == target; }));
}

/// Returns the number of datagrams with a message of type `Message`.
template <class Message>
std::size_t count_messages(const pass_actions& out)
{
    return static_cast<std::size_t>(std::count_if(
        out.datagrams_.begin(), out.datagrams_.end(),
        [](const pass_datagram& datagram)
        {
            return datagram.target_ == pass_target::peer &&
                   std::holds_alternative<Message>(*datagram.message_);
        }));
}

/// Returns the first message of type `Message`, or null.
template <class Message>
const Message* find_message(const pass_actions& out)
{
    for (const pass_datagram& datagram : out.datagrams_)
    {
        if (datagram.target_ == pass_target::peer)
        {
            if (const auto* m = std::get_if<Message>(datagram.message_.get()))
            {
                return m;
            }
        }
    }
    return nullptr;
}

inline status_message make_status(host_address host,
                                  const std::string& data_centre_name,
                                  std::uint32_t in_flight = 0)
{
    status_message m;
    m.host_ = host;
    m.service_ = orders;
    m.data_centre_ = data_centre(data_centre_name);
    m.state_ = upstream_state::ready;
    m.accepting_ = true;
    m.slots_ = slot_count(2);
    m.in_flight_ = in_flight;
    return m;
}

inline std::shared_ptr<const pass_rules> make_rules(std::uint64_t version)
{
    auto rules = std::make_shared<pass_rules>();
    rules->version_ = pass_rules_version(version);
    pass_rule rule;
    rule.services_ = {{orders, 1}};
    rule.latency_target_ = std::chrono::milliseconds(150);
    rules->rules_[make_flow(1).service_address_] = rule;
    return rules;
}

/// Returns a balancer in data centre "a" that has rules, two agents in the same
/// data centre and one in another.
inline pass_balancer_state make_balancer()
{
    pass_balancer_settings settings;
    settings.host_ = balancer_x;
    settings.data_centre_ = data_centre("a");
    settings.load_jitter_ = 0.01;
    pass_balancer_state state = new_pass_balancer(settings, 1);
    update_rules(state, make_rules(3));
    pass_actions out;
    handle_status(state, make_status(agent_a, "a"), start, out);
    handle_status(state, make_status(agent_b, "a", 1), start, out);
    handle_status(state, make_status(agent_c, "b"), start, out);
    return state;
}

} // namespace galenafork::samples

#endif
