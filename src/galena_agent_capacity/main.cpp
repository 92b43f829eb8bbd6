/// \file
/// Measures an agent's control cost against members and flows and prints a
/// JSON line for each size. Virtual time: the processor time is real, the
/// seconds that it is related to are the network's.

#include <libvirtual/service_fixture.h>

#include <galenafork/wire.h>

#include <boost/program_options.hpp>
#include <ctime>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>

using namespace galenafork;
using namespace galenafork::testing;

namespace
{

namespace po = boost::program_options;

constexpr duration settle_time = std::chrono::seconds(1);
constexpr duration quiet_time = std::chrono::seconds(10);

double processor_seconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) * 1e-9;
}

// Heap in use, in bytes.
double heap_bytes()
{
    const auto heap = mallinfo2();
    return static_cast<double>(heap.uordblks + heap.hblkhd);
}

// What the agents of a service sent.
struct traffic
{
    double messages_ = 0;
    double bytes_ = 0;
};

traffic count_heartbeats(service_fixture& service, duration span)
{
    traffic sent;
    const instant end = service.now_ + span;
    while (service.now_ < end)
    {
        service.now_ += service.tick_interval_;
        for (auto& [id, agent] : service.agents_)
        {
            const auto actions = on_tick(agent, service.now_);
            for (const agent_action& action : actions)
            {
                const auto* peer = std::get_if<send_peer_message>(&action);
                if (peer != nullptr)
                {
                    ++sent.messages_;
                    sent.bytes_ += static_cast<double>(
                        encode(datagram(peer->message_)).size());
                }
            }
            service.perform_actions(id, actions);
        }
        service.deliver_due();
    }
    return sent;
}

// A service at rest: heartbeats only. Acks count as much again in messages.
void measure_members(int members)
{
    service_fixture service(members);
    service.run_for(settle_time);
    const traffic sent = count_heartbeats(service, quiet_time);
    const double before = processor_seconds();
    service.run_for(quiet_time);
    const double used = processor_seconds() - before;
    const double seconds = std::chrono::duration<double>(quiet_time).count();
    const double agent_seconds = seconds * members;
    std::cout << nlohmann::json{{"measure", "members"},
                                {"members", members},
                                {"heartbeats_per_agent_s",
                                 sent.messages_ / agent_seconds},
                                {"heartbeat_bytes_per_agent_s",
                                 sent.bytes_ / agent_seconds},
                                {"processor_share_per_agent",
                                 used / agent_seconds}}
                     .dump()
              << "\n";
}

void open_flows(service_fixture& service, int flows)
{
    constexpr int per_round = 2000;
    for (int n = 0; n < flows; ++n)
    {
        flow_key flow = make_flow(n % 50'000);
        flow.caller_.port_ = static_cast<std::uint16_t>(4000 + n / 50'000);
        service.send(flow);
        if (n % per_round == per_round - 1)
        {
            service.run_for(service.tick_interval_);
            service.served_by_.clear();
        }
    }
    service.run_for(service.tick_interval_);
}

// Memory for each flow, and the time that a planned change of homes takes.
void measure_flows(int flows)
{
    service_fixture service(4);
    const double before = heap_bytes();
    open_flows(service, flows);
    service.served_by_.clear();
    const double grown = heap_bytes() - before;
    const double start = processor_seconds();
    service.change(roster_change_kind::drain, instance_id("orders-1"));
    const instant changed = service.now_;
    const auto all_open = [&]
    {
        int open = 0;
        for (const auto& [id, agent] : service.agents_)
        {
            for (const bucket_state& bucket : agent.buckets_)
            {
                open += bucket.is_home_ && bucket.directory_complete_ ? 1 : 0;
            }
        }
        return open == bucket_count;
    };
    service.run_for(std::chrono::milliseconds(20));
    while (!all_open() && service.now_ < changed + std::chrono::seconds(5))
    {
        service.run_for(service.tick_interval_);
    }
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
        service.now_ - changed);
    std::cout << nlohmann::json{{"measure", "flows"},
                                {"flows", flows},
                                {"bytes_per_flow", grown / flows},
                                {"handover_ms", took.count()},
                                {"handover_processor_s",
                                 processor_seconds() - start}}
                     .dump()
              << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    po::options_description options(
        "usage: galena-agent-capacity [--help]\n"
        "Measures an agent's control cost; prints a JSON line for each size");
    options.add_options()("help", "this text");
    try
    {
        po::variables_map given;
        po::store(po::parse_command_line(argc, argv, options), given);
        if (given.count("help") != 0)
        {
            std::cout << options;
            return 0;
        }
    }
    catch (const po::error& wrong)
    {
        std::cerr << wrong.what() << "\n";
        return 2;
    }
    for (const int members : {2, 4, 7, 8, 16, 32, 64})
    {
        measure_members(members);
    }
    for (const int flows : {1'000, 10'000, 100'000, 400'000})
    {
        measure_flows(flows);
    }
    return 0;
}
