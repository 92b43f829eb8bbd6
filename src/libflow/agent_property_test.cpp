#include <libvirtual/service_fixture.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace galenafork;
using namespace galenafork::testing;
using std::chrono::milliseconds;

namespace
{

constexpr int flow_count = 40;
constexpr int first_joining_number = 10;

// One random step: the kind of event and a number that selects its target.
struct step
{
    int kind_;
    int target_;
};

step make_random_step()
{
    return step{*rc::gen::inRange(0, 10), *rc::gen::inRange(0, 1000)};
}

instance_id pick_member(const service_fixture& service, int target)
{
    const auto& members = service.platform_roster_.members_;
    return members[static_cast<std::size_t>(target) % members.size()].instance_;
}

void send_posts(service_fixture& service, int target)
{
    for (int n = 0; n < flow_count; ++n)
    {
        const flow_key flow = make_flow(n);
        const auto id = static_cast<std::uint16_t>((target + n) % 5 + 1);
        service.send(flow, make_post(flow, id));
    }
}

void perform_step(service_fixture& service, const step& s,
                  int& next_joining_number)
{
    const bool has_few_members = service.platform_roster_.members_.size() < 3;
    switch (s.kind_)
    {
    case 0:
        if (!has_few_members)
        {
            service.kill(pick_member(service, s.target_));
        }
        break;
    case 1:
        service.pause(pick_member(service, s.target_));
        break;
    case 2:
        service.paused_.clear();
        break;
    case 3:
        service.join(next_joining_number++);
        break;
    case 4:
        if (!has_few_members)
        {
            service.change(roster_change_kind::drain,
                           pick_member(service, s.target_),
                           milliseconds(s.target_ % 200));
        }
        break;
    case 5:
        service.platform_up_ = !service.platform_up_;
        break;
    default:
        send_posts(service, s.target_);
        break;
    }
}

// Returns the number of agents that would serve a packet of the flow now.
int count_acting_owners(const service_fixture& service, const flow_key& flow)
{
    int owners = 0;
    for (const instance_id& id : service.owners_of(flow))
    {
        const agent_state& agent = service.agents_.at(id);
        const bool acts = service.paused_.count(id) == 0 &&
                          holds_lease(agent.lease_, agent.view_,
                                      agent.settings_.lease_, service.now_);
        owners += acts ? 1 : 0;
    }
    return owners;
}

void check_invariants(const service_fixture& service)
{
    for (int n = 0; n < flow_count; ++n)
    {
        RC_ASSERT(count_acting_owners(service, make_flow(n)) <= 1);
    }
    std::map<request_key, int> runs;
    for (const upstream_run& run : service.runs_)
    {
        RC_ASSERT(++runs[run.key_] == 1);
    }
    for (const auto& [key, verdicts] : service.refusals_)
    {
        for (const verdict& reported : verdicts)
        {
            RC_ASSERT(reported.run_state_ != run_state::did_not_run ||
                      runs.count(key) == 0);
        }
    }
}

} // namespace

TEST_CASE("property: at most one acting owner and one run under any failures")
{
    const bool held = rc::check(
        "at most one acting owner and one run",
        []
        {
            network_faults faults;
            faults.seed_ = *rc::gen::arbitrary<std::uint64_t>();
            faults.lost_permille_ = *rc::gen::element(0U, 20U, 200U);
            faults.duplicated_permille_ = *rc::gen::element(0U, 50U);
            faults.delayed_permille_ = *rc::gen::element(0U, 100U);
            faults.extra_delay_ = milliseconds(*rc::gen::inRange(1, 2000));
            service_fixture service(*rc::gen::inRange(2, 6), faults);
            service.upstream_answers_ = *rc::gen::arbitrary<bool>();
            int next_joining_number = first_joining_number;
            const int steps = *rc::gen::inRange(1, 25);
            for (int i = 0; i < steps; ++i)
            {
                perform_step(service, make_random_step(), next_joining_number);
                const int wait = *rc::gen::inRange(1, 120);
                for (int ticks = 0; ticks < wait; ticks += 10)
                {
                    service.run_for(milliseconds(100));
                    check_invariants(service);
                }
            }
        });
    CHECK(held);
}
