/// \file
/// Measures memory, message sizes and CPU time of a balancer's control logic
/// for different numbers of services, missed changes and subscribers, and
/// prints a JSON line for each size, for docs/CAPACITY.md.

#include <galenafork/relay.h>
#include <galenafork/replicated_state_codec.h>
#include <libbalancer/samples.h>

#include <array>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <ctime>
#include <iostream>
#include <malloc.h>

using namespace galenafork;
using namespace galenafork::samples;

namespace
{

constexpr std::array<std::size_t, 5> service_counts{50, 200, 600, 1100, 2200};
constexpr std::uint16_t members_per_service = 4;
constexpr int repetitions = 20;

double cpu_seconds()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    constexpr double seconds_per_ns = 1e-9;
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) * seconds_per_ns;
}

/// Calls `operation` with each number below `repetitions` and returns the mean
/// CPU time of one call, in microseconds.
template <class Operation>
double mean_cpu_us(Operation operation)
{
    constexpr double us_per_second = 1e6;
    const double start = cpu_seconds();
    for (int i = 0; i < repetitions; ++i)
    {
        operation(i);
    }
    return (cpu_seconds() - start) * us_per_second / repetitions;
}

std::size_t heap_bytes()
{
    return mallinfo2().uordblks;
}

template <class Schema, class Value>
std::size_t encoded_bytes(const Value& value)
{
    capnp::MallocMessageBuilder message;
    write(message.initRoot<Schema>(), value);
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

std::size_t encoded_bytes(const std::vector<state_update>& updates)
{
    std::size_t bytes = 0;
    for (const state_update& update : updates)
    {
        bytes += encoded_bytes<rpc::Update>(update);
    }
    return bytes;
}

/// Measures the state of a balancer with `services` services, its messages and
/// the cost of one roster change.
void measure_services(std::size_t services)
{
    const std::size_t heap_before = heap_bytes();
    replicated_state state = make_state(services, members_per_service);
    const std::size_t state_bytes = heap_bytes() - heap_before;
    auto snapshot = build_snapshot(state, nullptr);
    const std::size_t state_and_table_bytes = heap_bytes() - heap_before;

    const roster old_roster = *state.services_.at(make_service(0)).roster_;
    const roster_delta base_delta{old_roster.service_,
                                  epoch(old_roster.epoch_.value() + 1),
                                  make_join(members_per_service)};
    const double merge_us = mean_cpu_us(
        [&](int i)
        {
            const auto index = static_cast<std::size_t>(i) % services;
            roster_delta delta = base_delta;
            delta.service_ = make_service(index);
            delta.epoch_ = epoch(
                state.services_.at(delta.service_).roster_->epoch_.value() + 1);
            delta.change_ =
                make_join(static_cast<std::uint16_t>(members_per_service + i));
            merge(state, delta);
        });
    const double snapshot_us = mean_cpu_us(
        [&](int) { snapshot = build_snapshot(state, snapshot.get()); });
    const double digest_us = mean_cpu_us([&](int) { digest_of(state); });

    const state_update delta_update(base_delta);
    const state_update full_roster_update(old_roster);
    const rules_delta changed_rules{
        rules_version(2),
        {0,
         {format_rules({state.rules_->rules_[0]})},
         {format_rules({state.rules_->rules_[1]})}}};
    const expired_members_update expired_update{
        old_roster.service_, {{instance_id("m-0"), incarnation(1)}}};
    std::cout
        << "{\"measure\":\"services\",\"services\":" << services
        << ",\"members\":" << services * members_per_service
        << ",\"state_bytes\":" << state_bytes
        << ",\"state_and_table_bytes\":" << state_and_table_bytes
        << ",\"digest_bytes\":" << encoded_bytes<rpc::Digest>(digest_of(state))
        << ",\"change_bytes\":" << encoded_bytes<rpc::Update>(delta_update)
        << ",\"lapse_bytes\":"
        << encoded_bytes<rpc::Update>(state_update(expired_update))
        << ",\"roster_bytes\":"
        << encoded_bytes<rpc::Update>(full_roster_update) << ",\"rules_bytes\":"
        << encoded_bytes<rpc::Update>(state_update(*state.rules_))
        << ",\"rules_change_bytes\":"
        << encoded_bytes<rpc::Update>(state_update(changed_rules))
        << ",\"full_pull_bytes\":"
        << encoded_bytes(updates_since(state, all_versions(replicated_state())))
        << ",\"merge_change_us\":" << merge_us
        << ",\"rebuild_table_us\":" << snapshot_us
        << ",\"digest_us\":" << digest_us << "}\n";
}

/// Measures the pull of a balancer that missed `changes` roster changes, with
/// 1,100 services.
void measure_missed_changes(std::size_t changes)
{
    constexpr std::size_t services = 1100;
    replicated_state ahead = make_state(services, members_per_service);
    replicated_state behind = ahead;
    for (std::size_t i = 0; i < changes; ++i)
    {
        const service_name name = make_service(i % services);
        const epoch next(ahead.services_.at(name).roster_->epoch_.value() + 1);
        const auto joiner =
            static_cast<std::uint16_t>(members_per_service + i / services);
        merge(ahead, roster_delta{name, next, make_join(joiner)});
    }
    const auto versions = differing_versions(behind, digest_of(ahead));
    std::vector<state_update> updates;
    const double answer_us =
        mean_cpu_us([&](int) { updates = updates_since(ahead, versions); });
    const double start = cpu_seconds();
    for (const state_update& update : updates)
    {
        merge(behind, update);
    }
    constexpr double us_per_second = 1e6;
    const double merge_us = (cpu_seconds() - start) * us_per_second;
    std::cout << "{\"measure\":\"missed\",\"changes\":" << changes
              << ",\"digest_bytes\":"
              << encoded_bytes<rpc::Digest>(digest_of(ahead))
              << ",\"versions_bytes\":"
              << encoded_bytes<rpc::Versions>(versions)
              << ",\"updates_bytes\":" << encoded_bytes(updates)
              << ",\"answer_us\":" << answer_us << ",\"merge_us\":" << merge_us
              << ",\"same_after\":"
              << (digest_of(behind) == digest_of(ahead) ? "true" : "false")
              << "}\n";
}

/// Measures a relay that sends one roster change to `subscribers` balancers.
void measure_fan_out(std::size_t subscribers)
{
    const roster old_roster = make_roster(make_service(0), members_per_service);
    const state_update delta_update(
        roster_delta{old_roster.service_, epoch(old_roster.epoch_.value() + 1),
                     make_join(members_per_service)});
    const double encode_us = mean_cpu_us(
        [&](int)
        {
            for (std::size_t i = 0; i < subscribers; ++i)
            {
                encoded_bytes<rpc::Update>(delta_update);
            }
        });
    std::cout << "{\"measure\":\"fan_out\",\"subscribers\":" << subscribers
              << ",\"bytes\":"
              << subscribers * encoded_bytes<rpc::Update>(delta_update)
              << ",\"encode_us\":" << encode_us << "}\n";
}

} // namespace

int main()
{
    for (const std::size_t services : service_counts)
    {
        measure_services(services);
    }
    for (const std::size_t changes : {1UL, 10UL, 100UL, 1000UL, 3000UL})
    {
        measure_missed_changes(changes);
    }
    for (const std::size_t subscribers : {10UL, 30UL, 60UL, 124UL, 248UL})
    {
        measure_fan_out(subscribers);
    }
    return 0;
}
