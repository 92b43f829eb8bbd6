/// \file
/// Segments, messages and agents for the tests of passthrough flows.

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

/// The caller's request on a flow whose upstream answered with `sequence`.
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

inline segment_header make_response(std::uint16_t port)
{
    segment_header s;
    s.flow_ = make_flow(port);
    s.acknowledges_ = true;
    s.data_bytes_ = 400;
    return s;
}

inline const std::vector<std::uint8_t> some_packet{1, 2, 3, 4};

inline byte_view some_bytes()
{
    return {some_packet.data(), some_packet.size()};
}

inline place_message make_place(std::vector<host_address> candidates = {})
{
    place_message m;
    m.packet_ = some_packet;
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

/// An agent whose upstream has two slots and has reported itself ready.
inline pass_agent_state make_agent(host_address host = agent_a)
{
    pass_agent_settings settings;
    settings.host_ = host;
    settings.process_started_ = start_time_ms(1000);
    pass_agent_state state = new_pass_agent(settings, start);
    pass_actions out;
    apply_report(state, make_report(), start, out);
    return state;
}

/// Opens a flow up to the request that runs at the upstream.
inline void open_flow(pass_agent_state& state, std::uint16_t port, instant now)
{
    pass_actions out;
    handle_place(state, make_place(), make_opening(port), now, out);
    handle_upstream_segment(state, make_opening_answer(port, 9000),
                            some_bytes(), now, out);
    handle_caller_segment(state, make_request(port, 9000), some_bytes(),
                          balancer_x, now, out);
}

inline std::size_t count(const pass_actions& out, pass_target target)
{
    return static_cast<std::size_t>(std::count_if(
        out.datagrams_.begin(), out.datagrams_.end(),
        [&](const pass_datagram& a) { return a.target_ == target; }));
}

/// The first message of type `Message`, or null.
template <class Message>
const Message* find_message(const pass_actions& out)
{
    for (const pass_datagram& action : out.datagrams_)
    {
        if (action.target_ == pass_target::peer)
        {
            if (const auto* m = std::get_if<Message>(action.message_.get()))
            {
                return m;
            }
        }
    }
    return nullptr;
}

inline status_message make_status(host_address host,
                                  const std::string& data_centre_name,
                                  std::uint32_t busy = 0)
{
    status_message m;
    m.host_ = host;
    m.service_ = orders;
    m.data_centre_ = data_centre(data_centre_name);
    m.state_ = upstream_state::ready;
    m.accepting_ = true;
    m.slots_ = slot_count(2);
    m.in_flight_ = busy;
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

/// A balancer in data centre "a" with rules and two agents there, one
/// elsewhere.
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
