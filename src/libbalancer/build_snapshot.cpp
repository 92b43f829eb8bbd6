#include <galenafork/replicated_state.h>

namespace galenafork
{

namespace
{

/// True if `make_route` would return the same route for `service`.
bool is_current(const service_route& route, const service_state& service)
{
    return route.epoch_ == service.roster_->epoch_ &&
           route.expired_members_.incarnations_ ==
               service.expired_members_.incarnations_;
}

std::shared_ptr<const service_route>
route_of(const service_name& name, const replicated_state& state,
         const std::shared_ptr<const service_route>& previous)
{
    const auto at = state.services_.find(name);
    if (at == state.services_.end() || !at->second.roster_)
    {
        return previous ? previous : make_empty_route(name);
    }
    if (previous && is_current(*previous, at->second))
    {
        return previous;
    }
    return make_route(*at->second.roster_, at->second.expired_members_);
}

std::map<service_name, std::shared_ptr<const service_route>>
routes_by_name(const routing_snapshot* snapshot)
{
    std::map<service_name, std::shared_ptr<const service_route>> routes;
    if (snapshot != nullptr)
    {
        for (const auto& route : snapshot->routes_)
        {
            routes[route->service_] = route;
        }
    }
    return routes;
}

} // namespace

std::shared_ptr<const routing_snapshot>
build_snapshot(const replicated_state& state, const routing_snapshot* previous)
{
    if (!state.rules_)
    {
        return nullptr;
    }
    auto next = std::make_shared<routing_snapshot>();
    next->rules_version_ = state.rules_->version_;
    const bool same_rules =
        previous != nullptr && previous->rules_version_ == next->rules_version_;
    next->addresses_ =
        same_rules ? previous->addresses_
                   : std::make_shared<const address_table>(*state.rules_);
    const auto previous_routes = routes_by_name(previous);
    for (const service_name& name : next->addresses_->services())
    {
        const auto at = previous_routes.find(name);
        next->routes_.push_back(route_of(
            name, state, at == previous_routes.end() ? nullptr : at->second));
    }
    return next;
}

} // namespace galenafork
