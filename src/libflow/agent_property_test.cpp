#include <libvirtual/service_fixture.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace galenafork;
using namespace galenafork::testing;
using std::chrono::milliseconds;

namespace
{

constexpr int flows = 40;
constexpr int first_newcomer = 10;

// One step of a run: what happens next, to whom.
struct step
{
    int kind_;
    int target_;
};

step draw_step()
{
    return step{*rc::gen::inRange(0, 10), *rc::gen::inRange(0, 1000)};
}

instance_id pick(const service_fixture& service, int target)
{
    const auto& members = service.platform_roster_.members_;
    return members[static_cast<std::size_t>(target) % members.size()].instance_;
}

void send_some(service_fixture& service, int target)
{
    for (int n = 0; n < flows; ++n)
    {
        const flow_key flow = make_flow(n);
        const auto id = static_cast<std::uint16_t>((target + n) % 5 + 1);
        service.send(flow, make_post(flow, id));
    }
}

void perform(service_fixture& service, const step& s, int& newcomer)
{
    const bool few = service.platform_roster_.members_.size() < 3;
    switch (s.kind_)
    {
    case 0:
        if (!few)
        {
            service.kill(pick(service, s.target_));
        }
        break;
    case 1:
        service.pause(pick(service, s.target_));
        break;
    case 2:
        service.paused_.clear();
        break;
    case 3:
        service.join(newcomer++);
        break;
    case 4:
        if (!few)
        {
            service.change(roster_change_kind::drain, pick(service, s.target_),
                           milliseconds(s.target_ % 200));
        }
        break;
    case 5:
        service.platform_up_ = !service.platform_up_;
        break;
    default:
        send_some(service, s.target_);
        break;
    }
}

// Agents that would serve a packet of the flow now.
int acting_owners(const service_fixture& service, const flow_key& flow)
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

void check_promises(const service_fixture& service)
{
    for (int n = 0; n < flows; ++n)
    {
        RC_ASSERT(acting_owners(service, make_flow(n)) <= 1);
    }
    std::map<request_key, int> runs;
    for (const upstream_run& run : service.runs_)
    {
        RC_ASSERT(++runs[run.key_] == 1);
    }
    for (const auto& [key, verdicts] : service.refusals_)
    {
        for (const verdict& told : verdicts)
        {
            RC_ASSERT(told.run_state_ != run_state::did_not_run ||
                      runs.count(key) == 0);
        }
    }
}

} // namespace

TEST_CASE("property: whatever fails, one acting owner and one run at most")
{
    const bool held =
        rc::check("one owner, one run",
                  []
                  {
                      network_faults faults;
                      faults.seed_ = *rc::gen::arbitrary<std::uint64_t>();
                      faults.lost_permille_ = *rc::gen::element(0U, 20U, 200U);
                      faults.duplicated_permille_ = *rc::gen::element(0U, 50U);
                      faults.delayed_permille_ = *rc::gen::element(0U, 100U);
                      faults.extra_delay_ =
                          milliseconds(*rc::gen::inRange(1, 2000));
                      service_fixture service(*rc::gen::inRange(2, 6), faults);
                      service.upstream_answers_ = *rc::gen::arbitrary<bool>();
                      int newcomer = first_newcomer;
                      const int steps = *rc::gen::inRange(1, 25);
                      for (int i = 0; i < steps; ++i)
                      {
                          perform(service, draw_step(), newcomer);
                          const int wait = *rc::gen::inRange(1, 120);
                          for (int ticks = 0; ticks < wait; ticks += 10)
                          {
                              service.run_for(milliseconds(100));
                              check_promises(service);
                          }
                      }
                  });
    CHECK(held);
}
