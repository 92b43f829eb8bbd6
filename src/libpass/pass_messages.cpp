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

// Backlogs are sent in thousandths of a request per slot.
constexpr double backlog_unit = 1000.0;

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

void write(schema::Place::Builder out, const place_message& m)
{
    out.setPacket(to_data(m.packet_));
    out.setService(m.service_.value().c_str());
    out.setVersion(m.version_.value());
    out.setBalancer(m.balancer_.value());
    auto candidates =
        out.initCandidates(static_cast<unsigned>(m.candidates_.size()));
    for (unsigned i = 0; i < candidates.size(); ++i)
    {
        candidates.set(i, m.candidates_[i].value());
    }
    auto visits = out.initVisits(static_cast<unsigned>(m.visits_.size()));
    for (unsigned i = 0; i < visits.size(); ++i)
    {
        visits[i].setHost(m.visits_[i].host_.value());
        visits[i].setBacklog(to_count(
            static_cast<std::uint32_t>(m.visits_[i].backlog_ * backlog_unit)));
    }
    out.setPriority(m.priority_);
    out.setIdempotent(m.idempotent_);
    out.setSettled(m.candidates_exhausted_);
    out.setAgeMicros(to_micros(m.age_));
    out.setTargetMicros(to_micros(m.latency_target_));
    out.setEarlier(m.earlier_agent_.value());
    out.setForwards(m.forwards_);
}

place_message read(schema::Place::Reader in)
{
    place_message m;
    m.packet_ = to_bytes(in.getPacket());
    m.service_ = service_name(in.getService().cStr());
    m.version_ = pass_rules_version(in.getVersion());
    m.balancer_ = host_address(in.getBalancer());
    for (const std::uint32_t host : in.getCandidates())
    {
        m.candidates_.emplace_back(host);
    }
    for (const auto visit : in.getVisits())
    {
        m.visits_.push_back(
            {host_address(visit.getHost()), visit.getBacklog() / backlog_unit});
    }
    m.priority_ = in.getPriority();
    m.idempotent_ = in.getIdempotent();
    m.candidates_exhausted_ = in.getSettled();
    m.age_ = duration(in.getAgeMicros());
    m.latency_target_ = duration(in.getTargetMicros());
    m.earlier_agent_ = host_address(in.getEarlier());
    m.forwards_ = in.getForwards();
    return m;
}

void write(schema::Moved::Builder out, const flow_owner_message& m)
{
    auto flow = out.initFlow();
    flow.setCallerHost(host_of(m.flow_.caller_).value());
    flow.setCallerPort(m.flow_.caller_.port_);
    flow.setServiceHost(host_of(m.flow_.service_address_).value());
    flow.setServicePort(m.flow_.service_address_.port_);
    out.setOwner(m.owner_.value());
    out.setHeld(m.queued_);
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
    const auto flow = in.getFlow();
    const bool undecided = in.getUndecidedSender() != 0;
    return {
        {at_port(host_address(flow.getCallerHost()), flow.getCallerPort()),
         at_port(host_address(flow.getServiceHost()), flow.getServicePort())},
        host_address(in.getOwner()),
        in.getHeld(),
        host_address(undecided ? in.getUndecidedSender() : in.getSender()),
        undecided};
}

void write(schema::Locate::Builder out, const locate_message& m)
{
    out.setPacket(to_data(m.packet_));
    out.setBalancer(m.sender_.value());
    out.setTentative(m.tentative_);
}

locate_message read(schema::Locate::Reader in)
{
    return {to_bytes(in.getPacket()), host_address(in.getBalancer()),
            in.getTentative()};
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
    return m;
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
