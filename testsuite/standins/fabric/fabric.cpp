#include "fabric.h"

#include <common/log.h>
#include <common/span.h>

#include <fstream>

namespace galenafork::standin
{

namespace
{

constexpr duration balancers_file_check_interval =
    std::chrono::milliseconds(50);
constexpr std::int64_t max_reorder_delay_us = 20000;

} // namespace

fabric::fabric(event_loop& loop, fabric_settings settings)
    : loop_(loop), settings_(std::move(settings)), random_(settings_.seed_),
      answer_socket_(settings_.answer_endpoint_),
      balancer_socket_(any_loopback_port())
{
    for (const auto& [listen, address] : settings_.services_)
    {
        ports_.push_back(std::unique_ptr<service_port>(
            new service_port{udp_socket(listen), address}));
        const service_port* port = ports_.back().get();
        ports_by_address_[address] = port;
        loop_.watch(port->socket_.descriptor(),
                    [this, port] { forward_requests(*port); });
    }
    loop_.watch(answer_socket_.descriptor(), [this] { forward_answers(); });
    if (!settings_.balancers_file_.empty())
    {
        reload_balancers();
        loop_.run_every(balancers_file_check_interval,
                        [this] { reload_balancers(); });
    }
}

void fabric::forward_requests(const service_port& port)
{
    while (const auto received = port.socket_.receive())
    {
        if (settings_.balancers_.empty())
        {
            ++counters_.no_balancer_;
            continue;
        }
        proxy_header header;
        header.source_ = received->from_;
        header.destination_ = port.address_;
        header.trace_ = sample_trace(received->from_);
        const std::size_t balancer_index =
            random_() % settings_.balancers_.size();
        ++counters_.to_balancers_;
        send(balancer_socket_, make_proxy_datagram(header, received->bytes_),
             settings_.balancers_[balancer_index]);
    }
}

void fabric::forward_answers()
{
    while (const auto received = answer_socket_.receive())
    {
        forward_answer(received->bytes_);
    }
}

void fabric::forward_answer(const byte_buffer& bytes)
{
    const auto parsed = parse_proxy_header(bytes.data(), bytes.size());
    const auto port = parsed.has_value()
                          ? ports_by_address_.find(parsed->header_.source_)
                          : ports_by_address_.end();
    if (port == ports_by_address_.end())
    {
        ++counters_.bad_answers_;
        return;
    }
    ++counters_.to_callers_;
    const auto start =
        bytes.begin() + static_cast<std::ptrdiff_t>(parsed->payload_offset_);
    send(port->second->socket_, byte_buffer(start, bytes.end()),
         parsed->header_.destination_);
}

void fabric::send(const udp_socket& socket, byte_buffer bytes,
                  const endpoint& to)
{
    if (is_selected_at_random(settings_.faults_.drop_permille_))
    {
        ++counters_.dropped_;
        return;
    }
    if (is_selected_at_random(settings_.faults_.duplicate_permille_))
    {
        ++counters_.duplicated_;
        socket.send(bytes, to);
    }
    if (is_selected_at_random(settings_.faults_.reorder_permille_))
    {
        ++counters_.reordered_;
        const auto delay =
            static_cast<std::int64_t>(random_() % max_reorder_delay_us);
        loop_.after(duration(delay), [&socket, bytes = std::move(bytes), to]
                    { socket.send(bytes, to); });
        return;
    }
    socket.send(bytes, to);
}

void fabric::reload_balancers()
{
    std::error_code failed;
    const auto time =
        std::filesystem::last_write_time(settings_.balancers_file_, failed);
    if (failed || time == balancers_file_time_)
    {
        return;
    }
    balancers_file_time_ = time;
    settings_.balancers_.clear();
    std::ifstream file(settings_.balancers_file_);
    for (std::string line; std::getline(file, line);)
    {
        const auto balancer = parse_endpoint(line);
        if (balancer.has_value())
        {
            settings_.balancers_.push_back(*balancer);
        }
    }
    log_line("balancers").with("count", settings_.balancers_.size());
}

bool fabric::is_selected_at_random(unsigned permille)
{
    constexpr unsigned whole = 1000;
    return permille != 0 && random_() % whole < permille;
}

trace_context fabric::sample_trace(const endpoint& caller)
{
    if (!is_selected_at_random(settings_.trace_permille_))
    {
        return {};
    }
    const trace_context trace = start_trace(random_);
    log_span("fabric", trace, {}, to_string(caller));
    return trace;
}

} // namespace galenafork::standin
