#include <galenafork/pass_messages.h>

#include <libpass/pass.capnp.h>

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <limits>
#include <stdexcept>

namespace galenafork
{

namespace
{

namespace schema = pvt::pass_schema;

// Backlogs, loads and rates are sent in thousandths.
constexpr double thousandths = 1000.0;

std::uint32_t to_thousandths(double value)
{
    constexpr double max_value = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::clamp(value * thousandths, 0.0, max_value));
}

std::uint32_t to_micros(duration d)
{
    constexpr auto max_value = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::clamp<duration::rep>(d.count(), 0, max_value));
}

std::uint16_t to_count(std::uint32_t value)
{
    constexpr std::uint32_t max_value =
        std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::min(value, max_value));
}

capnp::Data::Reader to_data(const std::vector<std::uint8_t>& bytes)
{
    return {bytes.data(), bytes.size()};
}

std::vector<std::uint8_t> to_bytes(capnp::Data::Reader data)
{
    return {data.begin(), data.end()};
}

void write(schema::Flow::Builder out, const flow_key& flow)
{
    out.setCallerHost(host_of(flow.caller_).value());
    out.setCallerPort(flow.caller_.port_);
    out.setServiceHost(host_of(flow.service_address_).value());
    out.setServicePort(flow.service_address_.port_);
}

flow_key read(schema::Flow::Reader in)
{
    return {at_port(host_address(in.getCallerHost()), in.getCallerPort()),
            at_port(host_address(in.getServiceHost()), in.getServicePort())};
}

void write(capnp::List<std::uint32_t>::Builder out,
           const std::vector<host_address>& hosts)
{
    for (unsigned i = 0; i < out.size(); ++i)
    {
        out.set(i, hosts[i].value());
    }
}

std::vector<host_address> read(capnp::List<std::uint32_t>::Reader in)
{
    std::vector<host_address> hosts;
    hosts.reserve(in.size());
    for (const std::uint32_t host : in)
    {
        hosts.emplace_back(host);
    }
    return hosts;
}

void write(schema::Place::Builder out, const place_message& m)
{
    out.setPacket(to_data(m.packet_));
    out.setService(m.service_.value().c_str());
    out.setVersion(m.version_.value());
    out.setBalancer(m.balancer_.value());
    write(out.initCandidates(static_cast<unsigned>(m.candidates_.size())),
          m.candidates_);
    auto visits = out.initVisits(static_cast<unsigned>(m.visits_.size()));
    for (unsigned i = 0; i < visits.size(); ++i)
    {
        visits[i].setHost(m.visits_[i].host_.value());
        visits[i].setBacklog(to_count(to_thousandths(m.visits_[i].backlog_)));
    }
    out.setPriority(m.priority_);
    out.setIdempotent(m.idempotent_);
    out.setSettled(m.candidates_exhausted_);
    out.setAgeMicros(to_micros(m.age_));
    out.setTargetMicros(to_micros(m.latency_target_));
    out.setEarlier(m.earlier_agent_.value());
    out.setForwards(m.forwards_);
    out.setColdPerSecondMillis(to_thousandths(m.cold_rate_));
    out.setHedged(m.hedged_);
    out.setHedgeable(m.hedgeable_);
}

place_message read(schema::Place::Reader in)
{
    place_message m;
    m.packet_ = to_bytes(in.getPacket());
    m.service_ = service_name(in.getService().cStr());
    m.version_ = pass_rules_version(in.getVersion());
    m.balancer_ = host_address(in.getBalancer());
    m.candidates_ = read(in.getCandidates());
    for (const auto visit : in.getVisits())
    {
        m.visits_.push_back(
            {host_address(visit.getHost()), visit.getBacklog() / thousandths});
    }
    m.priority_ = in.getPriority();
    m.idempotent_ = in.getIdempotent();
    m.candidates_exhausted_ = in.getSettled();
    m.age_ = duration(in.getAgeMicros());
    m.latency_target_ = duration(in.getTargetMicros());
    m.earlier_agent_ = host_address(in.getEarlier());
    m.forwards_ = in.getForwards();
    m.cold_rate_ = in.getColdPerSecondMillis() / thousandths;
    m.hedged_ = in.getHedged();
    m.hedgeable_ = in.getHedgeable();
    return m;
}

void write(schema::Moved::Builder out, const flow_owner_message& m)
{
    write(out.initFlow(), m.flow_);
    out.setOwner(m.owner_.value());
    out.setHeld(m.queued_);
    out.setHedged(m.hedged_);
    if (m.undecided_)
    {
        out.setUndecidedSender(m.sender_.value());
    }
    else
    {
        out.setSender(m.sender_.value());
    }
}

flow_owner_message read(schema::Moved::Reader in)
{
    const bool undecided = in.getUndecidedSender() != 0;
    return {read(in.getFlow()),
            host_address(in.getOwner()),
            in.getHeld(),
            host_address(undecided ? in.getUndecidedSender() : in.getSender()),
            undecided,
            in.getHedged()};
}

void write(schema::Locate::Builder out, const locate_message& m)
{
    out.setPacket(to_data(m.packet_));
    out.setBalancer(m.sender_.value());
    out.setTentative(m.tentative_);
    write(out.initGroup(static_cast<unsigned>(m.group_.size())), m.group_);
    out.setRelay(m.relay_.value());
}

locate_message read(schema::Locate::Reader in)
{
    return {to_bytes(in.getPacket()), host_address(in.getBalancer()),
            in.getTentative(), read(in.getGroup()),
            host_address(in.getRelay())};
}

void write(schema::SearchResult::Builder out, const search_result_message& m)
{
    write(out.initFlow(), m.flow_);
    out.setSender(m.sender_.value());
    write(out.initDenied(static_cast<unsigned>(m.denied_.size())), m.denied_);
    write(out.initUndecided(static_cast<unsigned>(m.undecided_.size())),
          m.undecided_);
}

search_result_message read(schema::SearchResult::Reader in)
{
    return {read(in.getFlow()), host_address(in.getSender()),
            read(in.getDenied()), read(in.getUndecided())};
}

void write(schema::Status::Builder out, const status_message& m)
{
    out.setHost(m.host_.value());
    out.setInstance(m.instance_.value().c_str());
    out.setService(m.service_.value().c_str());
    out.setDataCentre(m.data_centre_.value().c_str());
    out.setStarted(m.started_.value());
    out.setState(static_cast<std::uint8_t>(m.state_));
    out.setAccepting(m.accepting_);
    out.setSlots(to_count(m.slots_.value()));
    out.setBusy(to_count(m.in_flight_));
    out.setHeld(to_count(m.queued_));
    out.setColdMicros(to_micros(m.cold_remaining_));
    out.setServiceMicros(to_micros(m.service_time_));
    out.setEnded(m.ended_);
    out.setExpectedLoadMillis(to_thousandths(m.expected_load_));
}

status_message read(schema::Status::Reader in)
{
    status_message m;
    m.host_ = host_address(in.getHost());
    m.instance_ = instance_id(in.getInstance().cStr());
    m.service_ = service_name(in.getService().cStr());
    m.data_centre_ = data_centre(in.getDataCentre().cStr());
    m.started_ = start_time_ms(in.getStarted());
    m.state_ = in.getState() <= static_cast<std::uint8_t>(upstream_state::gone)
                   ? static_cast<upstream_state>(in.getState())
                   : upstream_state::unknown;
    m.accepting_ = in.getAccepting();
    m.slots_ = slot_count(in.getSlots());
    m.in_flight_ = in.getBusy();
    m.queued_ = in.getHeld();
    m.cold_remaining_ = duration(in.getColdMicros());
    m.service_time_ = duration(in.getServiceMicros());
    m.ended_ = in.getEnded();
    m.expected_load_ = in.getExpectedLoadMillis() / thousandths;
    return m;
}

// Returns the age in milliseconds, rounded up so that the receiver takes
// nothing for more recent than it is. Ages beyond the range are of no use to
// peers.
std::uint32_t to_age_millis(const std::optional<duration>& age)
{
    constexpr duration limit = std::chrono::hours(1);
    if (!age || *age < duration(0) || *age > limit)
    {
        return 0;
    }
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(*age).count() +
        1);
}

std::optional<duration> age_from(std::uint32_t millis)
{
    return millis == 0
               ? std::nullopt
               : std::optional<duration>(std::chrono::milliseconds(millis));
}

void write(schema::Hello::Builder out, const hello_message& m)
{
    out.setHost(m.host_.value());
    out.setVersion(m.version_.value());
    out.setAgents(to_count(m.agents_));
    out.setLeaving(m.leaving_);
    out.setStatusMillis(to_count(
        static_cast<std::uint32_t>(m.status_interval_.count() / 1000)));
    out.setProbe(m.probe_);
    const evacuation_state& evacuations = m.evacuations_;
    out.setEvacuationEra(evacuations.era_.value());
    out.setEvacuationRevision(evacuations.revision_.value());
    out.setRulesReadAgeMillis(to_age_millis(m.rules_read_age_));
    out.setEvacuationsReadAgeMillis(to_age_millis(m.evacuations_read_age_));
    auto names = out.initEvacuated(
        static_cast<unsigned>(evacuations.data_centres_.size()));
    for (unsigned i = 0; i < names.size(); ++i)
    {
        names.set(i, evacuations.data_centres_[i].value().c_str());
    }
}

hello_message read(schema::Hello::Reader in)
{
    hello_message m;
    m.host_ = host_address(in.getHost());
    m.version_ = pass_rules_version(in.getVersion());
    m.agents_ = in.getAgents();
    m.leaving_ = in.getLeaving();
    m.status_interval_ = std::chrono::milliseconds(in.getStatusMillis());
    m.probe_ = in.getProbe();
    m.evacuations_.era_ = store_era(in.getEvacuationEra());
    m.evacuations_.revision_ = object_version(in.getEvacuationRevision());
    m.rules_read_age_ = age_from(in.getRulesReadAgeMillis());
    m.evacuations_read_age_ = age_from(in.getEvacuationsReadAgeMillis());
    for (const auto name : in.getEvacuated())
    {
        m.evacuations_.data_centres_.emplace_back(name.cStr());
    }
    return m;
}

/// Writes a message of any type into the union of the schema.
struct message_writer
{
    schema::Message::Builder out_;

    void operator()(const place_message& m)
    {
        write(out_.initPlace(), m);
    }
    void operator()(const flow_owner_message& m)
    {
        write(out_.initMoved(), m);
    }
    void operator()(const locate_message& m)
    {
        write(out_.initLocate(), m);
    }
    void operator()(const status_message& m)
    {
        write(out_.initStatus(), m);
    }
    void operator()(const hello_message& m)
    {
        write(out_.initHello(), m);
    }
    void operator()(const search_result_message& m)
    {
        write(out_.initSearchResult(), m);
    }
};

pass_message read_message(schema::Message::Reader in)
{
    switch (in.which())
    {
    case schema::Message::PLACE:
        return read(in.getPlace());
    case schema::Message::MOVED:
        return read(in.getMoved());
    case schema::Message::LOCATE:
        return read(in.getLocate());
    case schema::Message::STATUS:
        return read(in.getStatus());
    case schema::Message::HELLO:
        return read(in.getHello());
    case schema::Message::SEARCH_RESULT:
        return read(in.getSearchResult());
    }
    throw std::invalid_argument("unknown kind of message");
}

} // namespace

std::vector<std::uint8_t> encode(const pass_message& message)
{
    capnp::MallocMessageBuilder builder;
    std::visit(message_writer{builder.initRoot<schema::Message>()}, message);
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asBytes();
    return {bytes.begin(), bytes.end()};
}

tl::expected<pass_message, error> decode_pass_message(byte_view bytes)
{
    try
    {
        const kj::ArrayPtr<const capnp::word> words(
            reinterpret_cast<const capnp::word*>(bytes.data_),
            bytes.size_ / sizeof(capnp::word));
        capnp::FlatArrayMessageReader reader(words);
        return read_message(reader.getRoot<schema::Message>());
    }
    catch (const kj::Exception& e)
    {
        return tl::unexpected(
            error{error_code::bad_message, e.getDescription().cStr()});
    }
    catch (const std::invalid_argument& e)
    {
        return tl::unexpected(error{error_code::bad_message, e.what()});
    }
}

} // namespace galenafork
