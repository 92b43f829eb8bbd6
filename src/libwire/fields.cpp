#include "fields.h"

#include <galenafork/wire.h>

#include <algorithm>

namespace galenafork::pvt
{

namespace
{

constexpr std::size_t u64_bytes = 8;

} // namespace

std::uint64_t load_u64(const std::uint8_t* bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = u64_bytes; i-- > 0;)
    {
        value = (value << 8U) | bytes[i];
    }
    return value;
}

void store_u64(std::uint8_t* bytes, std::uint64_t value)
{
    for (std::size_t i = 0; i < u64_bytes; ++i)
    {
        bytes[i] = static_cast<std::uint8_t>(value >> (8U * i));
    }
}

address_halves to_halves(const ip_address& address)
{
    return {load_u64(address.bytes_.data()),
            load_u64(address.bytes_.data() + u64_bytes)};
}

ip_address from_halves(std::uint64_t low, std::uint64_t high)
{
    ip_address address;
    store_u64(address.bytes_.data(), low);
    store_u64(address.bytes_.data() + u64_bytes, high);
    return address;
}

capnp::Text::Reader text_of(const std::string& text)
{
    return {text.c_str(), text.size()};
}

capnp::Data::Reader data_of(const byte_buffer& bytes)
{
    return {bytes.data(), bytes.size()};
}

void write(schema::Endpoint::Builder out, const endpoint& value)
{
    const address_halves halves = to_halves(value.address_);
    out.setAddressLow(halves.low_);
    out.setAddressHigh(halves.high_);
    out.setPort(value.port_);
}

void write(schema::FlowKey::Builder out, const flow_key& value)
{
    const address_halves caller = to_halves(value.caller_.address_);
    const address_halves service = to_halves(value.service_address_.address_);
    out.setCallerLow(caller.low_);
    out.setCallerHigh(caller.high_);
    out.setCallerPort(value.caller_.port_);
    out.setServiceLow(service.low_);
    out.setServiceHigh(service.high_);
    out.setServicePort(value.service_address_.port_);
}

void write(schema::InstanceLife::Builder out, const instance_incarnation& value)
{
    out.setInstance(text_of(value.instance_.value()));
    out.setIncarnation(value.incarnation_.value());
}

void write(schema::TraceContext::Builder out, const trace_context& value)
{
    out.setTraceIdLow(load_u64(value.trace_id_.data()));
    out.setTraceIdHigh(load_u64(value.trace_id_.data() + u64_bytes));
    out.setSpanId(load_u64(value.span_id_.data()));
    out.setSampled(value.sampled_);
}

void write(schema::LoadReport::Builder out, const load_report& value)
{
    out.setInFlight(value.in_flight_);
    out.setSlots(value.slots_.value());
    out.setReportedPermille(value.upstream_load_permille_);
    out.setCold(value.cold_);
}

void write(schema::JournalEntry::Builder out, const journal_entry& value)
{
    write(out.initFlow(), value.key_.flow_);
    out.setMessageId(value.key_.message_id_);
    out.setToken(data_of(value.key_.token_));
    write(out.initOwner(), value.owner_);
    out.setState(static_cast<std::uint8_t>(value.state_));
    out.setAnswer(data_of(value.answer_));
}

void require(bool valid, const char* reason)
{
    if (!valid)
    {
        throw bad_field{reason};
    }
}

std::string read_name(capnp::Text::Reader text)
{
    require(text.size() <= max_name_bytes, "name is too long");
    std::string name(text.begin(), text.size());
    require(is_valid_name(name), "invalid name");
    return name;
}

byte_buffer read_bytes(capnp::Data::Reader data, std::size_t max_bytes)
{
    require(data.size() <= max_bytes, "byte string is too long");
    return {data.begin(), data.end()};
}

bucket_id read_bucket(std::uint16_t value)
{
    require(value < bucket_count, "bucket is out of range");
    return bucket_id(value);
}

endpoint read(schema::Endpoint::Reader in)
{
    return {from_halves(in.getAddressLow(), in.getAddressHigh()), in.getPort()};
}

flow_key read(schema::FlowKey::Reader in)
{
    flow_key flow;
    flow.caller_ = {from_halves(in.getCallerLow(), in.getCallerHigh()),
                    in.getCallerPort()};
    flow.service_address_ = {
        from_halves(in.getServiceLow(), in.getServiceHigh()),
        in.getServicePort()};
    return flow;
}

instance_incarnation read(schema::InstanceLife::Reader in)
{
    return {instance_id(read_name(in.getInstance())),
            incarnation(in.getIncarnation())};
}

trace_context read(schema::TraceContext::Reader in)
{
    trace_context trace;
    store_u64(trace.trace_id_.data(), in.getTraceIdLow());
    store_u64(trace.trace_id_.data() + u64_bytes, in.getTraceIdHigh());
    store_u64(trace.span_id_.data(), in.getSpanId());
    trace.sampled_ = in.getSampled();
    return trace;
}

load_report read(schema::LoadReport::Reader in)
{
    load_report load;
    load.in_flight_ = in.getInFlight();
    load.slots_ = slot_count(in.getSlots());
    load.upstream_load_permille_ = in.getReportedPermille();
    load.cold_ = in.getCold();
    return load;
}

journal_entry read(schema::JournalEntry::Reader in)
{
    require(in.getState() <=
                static_cast<std::uint8_t>(journal_entry_state::refused),
            "unknown state of a journal entry");
    journal_entry entry;
    entry.key_.flow_ = read(in.getFlow());
    entry.key_.message_id_ = in.getMessageId();
    entry.key_.token_ = read_bytes(in.getToken(), max_token_bytes);
    entry.owner_ = read(in.getOwner());
    entry.state_ = static_cast<journal_entry_state>(in.getState());
    entry.answer_ = read_bytes(in.getAnswer(), max_datagram_bytes);
    return entry;
}

} // namespace galenafork::pvt
