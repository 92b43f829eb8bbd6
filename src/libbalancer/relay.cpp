#include <galenafork/relay.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace galenafork
{

namespace
{

// A relay that renews whenever a renewal is due keeps its lease even if two in
// a row fail.
constexpr int renewals_per_lease = 3;

const relay_entry* find(const relay_list& list, const instance_id& instance)
{
    const auto at = std::find_if(list.relays_.begin(), list.relays_.end(),
                                 [&](const relay_entry& r)
                                 { return r.instance_ == instance; });
    return at == list.relays_.end() ? nullptr : &*at;
}

bool same_renewal(const relay_entry& a, const relay_entry& b)
{
    return a.incarnation_ == b.incarnation_ &&
           a.renewal_count_ == b.renewal_count_;
}

// FNV-1a, because all balancers have to compute the same value, which std::hash
// does not guarantee.
std::uint64_t rendezvous_weight(const instance_id& relay,
                                const service_name& service)
{
    constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325U;
    constexpr std::uint64_t fnv_prime = 0x100000001b3U;
    std::uint64_t hash = fnv_offset;
    for (const char c : service.value() + "/" + relay.value())
    {
        hash = (hash ^ static_cast<unsigned char>(c)) * fnv_prime;
    }
    // FNV-1a hardly carries the last bytes into the high bits, which decide a
    // comparison, so the hash is mixed once more.
    hash = (hash ^ (hash >> 32U)) * fnv_prime;
    return hash ^ (hash >> 29U);
}

} // namespace

std::string relay_object_name(const data_centre& dc)
{
    return "relays/" + dc.value();
}

void update_relay_view(relay_view& view, const relay_list& list, instant now)
{
    std::map<instance_id, instant> seen;
    for (const relay_entry& relay : list.relays_)
    {
        const relay_entry* before = find(view.list_, relay.instance_);
        const bool is_unchanged =
            before != nullptr && same_renewal(*before, relay);
        seen[relay.instance_] =
            is_unchanged ? view.renewal_seen_at_[relay.instance_] : now;
    }
    view.list_ = list;
    view.renewal_seen_at_ = std::move(seen);
}

bool is_relay(const relay_view& view, const relay_entry& self)
{
    const relay_entry* entry = find(view.list_, self.instance_);
    return entry != nullptr && entry->incarnation_ == self.incarnation_;
}

std::optional<relay_list> next_relay_list(const relay_view& view,
                                          const relay_entry& self,
                                          const relay_settings& settings,
                                          instant now)
{
    relay_list next;
    for (const relay_entry& relay : view.list_.relays_)
    {
        const auto seen = view.renewal_seen_at_.find(relay.instance_);
        const bool has_valid_lease = seen != view.renewal_seen_at_.end() &&
                                     now - seen->second < settings.lease_;
        if (has_valid_lease && relay.instance_ != self.instance_)
        {
            next.relays_.push_back(relay);
        }
    }
    const bool already_relay = is_relay(view, self);
    const bool renewal_due =
        now - view.last_renewed_at_ >= settings.lease_ / renewals_per_lease;
    const bool has_vacancy = next.relays_.size() < settings.relay_count_;
    if (already_relay ? !renewal_due : !has_vacancy)
    {
        return std::nullopt;
    }
    relay_entry renewed = self;
    const relay_entry* before = find(view.list_, self.instance_);
    renewed.renewal_count_ = before == nullptr ? 1 : before->renewal_count_ + 1;
    next.relays_.push_back(renewed);
    std::sort(next.relays_.begin(), next.relays_.end(),
              [](const relay_entry& a, const relay_entry& b)
              { return a.instance_ < b.instance_; });
    return next;
}

bool is_assigned_relay(const relay_list& list, const instance_id& relay,
                       const service_name& service)
{
    const std::uint64_t own_weight = rendezvous_weight(relay, service);
    return std::none_of(list.relays_.begin(), list.relays_.end(),
                        [&](const relay_entry& other)
                        {
                            return other.instance_ != relay &&
                                   rendezvous_weight(other.instance_, service) >
                                       own_weight;
                        });
}

std::string to_json(const relay_list& list)
{
    auto relays = nlohmann::json::array();
    for (const relay_entry& relay : list.relays_)
    {
        relays.push_back({{"instance", relay.instance_.value()},
                          {"incarnation", relay.incarnation_.value()},
                          {"rpc", to_string(relay.rpc_endpoint_)},
                          {"beat", relay.renewal_count_}});
    }
    const nlohmann::json json = {{"relays", relays},
                                 {"write_id", list.last_write_id_.value()}};
    return json.dump();
}

tl::expected<relay_list, error> relay_list_from_json(const std::string& text)
{
    try
    {
        const auto json = nlohmann::json::parse(text);
        relay_list list;
        list.last_write_id_ = write_id(json.at("write_id").get<std::string>());
        for (const auto& in : json.at("relays"))
        {
            const auto rpc = parse_endpoint(in.at("rpc").get<std::string>());
            if (!rpc)
            {
                return tl::unexpected(
                    error{error_code::bad_message, rpc.error().message_});
            }
            list.relays_.push_back(
                {instance_id(in.at("instance").get<std::string>()),
                 incarnation(in.at("incarnation").get<std::uint64_t>()), *rpc,
                 in.at("beat").get<std::uint64_t>()});
        }
        return list;
    }
    catch (const nlohmann::json::exception& failure)
    {
        return tl::unexpected(error{error_code::bad_message, failure.what()});
    }
}

} // namespace galenafork
