/// \file
/// Measures the cost of an agent's control logic for different numbers of
/// members and flows, and prints a JSON line for each size. The agents run on a
/// simulated network: CPU time is real, and is related to seconds of virtual
/// time.

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

constexpr duration start_up_time = std::chrono::seconds(1);
constexpr duration measured_time = std::chrono::seconds(10);

double cpu_seconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) * 1e-9;
}

// Returns the heap in use, including separately mapped blocks.
double heap_bytes()
{
    const auto heap = mallinfo2();
    return static_cast<double>(heap.uordblks + heap.hblkhd);
}

// Messages that all agents of a service sent.
struct sent_messages
{
    double count_ = 0;
    double bytes_ = 0;
};

// Runs the service for `span` and counts the messages that agents send to each
// other on ticks. Without callers these are heartbeats.
sent_messages count_heartbeats(service_fixture& service, duration span)
{
    sent_messages sent;
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
                    ++sent.count_;
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

// Measures a service without callers. The output counts heartbeats but not
// their acks, of which there is one for each heartbeat.
void measure_members(int members)
{
    service_fixture service(members);
    service.run_for(start_up_time);
    const sent_messages sent = count_heartbeats(service, measured_time);
    const double cpu_before_s = cpu_seconds();
    service.run_for(measured_time);
    const double cpu_used_s = cpu_seconds() - cpu_before_s;
    const double seconds = std::chrono::duration<double>(measured_time).count();
    const double agent_seconds = seconds * members;
    std::cout << nlohmann::json{{"measure", "members"},
                                {"members", members},
                                {"heartbeats_per_agent_s",
                                 sent.count_ / agent_seconds},
                                {"heartbeat_bytes_per_agent_s",
                                 sent.bytes_ / agent_seconds},
                                {"processor_share_per_agent",
                                 cpu_used_s / agent_seconds}}
                     .dump()
              << "\n";
}

void open_flows(service_fixture& service, int flows)
{
    constexpr int flows_per_round = 2000;
    for (int n = 0; n < flows; ++n)
    {
        // `make_flow` has only 64,000 different callers, so further flows come
        // from other ports of the same callers.
        flow_key flow = make_flow(n % 50'000);
        flow.caller_.port_ = static_cast<std::uint16_t>(4000 + n / 50'000);
        service.send(flow);
        if (n % flows_per_round == flows_per_round - 1)
        {
            service.run_for(service.tick_interval_);
            service.served_by_.clear();
        }
    }
    service.run_for(service.tick_interval_);
}

// Measures the memory per flow, and the virtual time and CPU time from a drain
// until the homes of all buckets have complete directories.
void measure_flows(int flows)
{
    service_fixture service(4);
    const double heap_before = heap_bytes();
    open_flows(service, flows);
    service.served_by_.clear();
    const double heap_growth = heap_bytes() - heap_before;
    const double cpu_before_s = cpu_seconds();
    service.change(roster_change_kind::drain, instance_id("orders-1"));
    const instant drained_at = service.now_;
    const auto all_directories_complete = [&]
    {
        int complete = 0;
        for (const auto& [id, agent] : service.agents_)
        {
            for (const bucket_state& bucket : agent.buckets_)
            {
                complete +=
                    bucket.is_home_ && bucket.directory_complete_ ? 1 : 0;
            }
        }
        return complete == bucket_count;
    };
    service.run_for(std::chrono::milliseconds(20));
    while (!all_directories_complete() &&
           service.now_ < drained_at + std::chrono::seconds(5))
    {
        service.run_for(service.tick_interval_);
    }
    const auto handover_time =
        std::chrono::duration_cast<std::chrono::milliseconds>(service.now_ -
                                                              drained_at);
    std::cout << nlohmann::json{{"measure", "flows"},
                                {"flows", flows},
                                {"bytes_per_flow", heap_growth / flows},
                                {"handover_ms", handover_time.count()},
                                {"handover_processor_s",
                                 cpu_seconds() - cpu_before_s}}
                     .dump()
              << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    po::options_description options(
        "usage: galena-agent-capacity [--help]\n"
        "Measures the cost of an agent's control logic and prints a JSON line "
        "for each size");
    options.add_options()("help", "print this text");
    try
    {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        if (values.count("help") != 0)
        {
            std::cout << options;
            return 0;
        }
    }
    catch (const po::error& e)
    {
        std::cerr << e.what() << "\n";
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
