#include <galenafork/coap.h>

#include <algorithm>

namespace galenafork
{

namespace
{

constexpr std::uint8_t last_method = 0x1f;
constexpr std::uint8_t first_response = 0x40;
constexpr std::uint8_t last_response = 0xbf;

constexpr std::size_t max_uint_option_bytes = 8;

// A block option has at most 3 bytes: block number, more flag (1 bit) and size
// exponent (3 bits).
constexpr std::size_t max_block_option_bytes = 3;
constexpr unsigned block_number_shift = 4;
constexpr std::uint8_t more_bit = 0x08;
constexpr std::uint8_t exponent_mask = 0x07;
constexpr std::uint8_t max_size_exponent = 6;
constexpr unsigned min_block_exponent = 4;

constexpr std::size_t trace_id_bytes = 16;
constexpr std::size_t span_id_bytes = 8;
constexpr std::size_t trace_option_bytes = trace_id_bytes + span_id_bytes + 1;

std::uint64_t read_uint(const byte_buffer& bytes)
{
    std::uint64_t value = 0;
    for (const std::uint8_t byte : bytes)
    {
        value = (value << 8U) | byte;
    }
    return value;
}

byte_buffer shortest_uint(std::uint64_t value)
{
    byte_buffer bytes;
    for (; value != 0; value >>= 8U)
    {
        bytes.insert(bytes.begin(), static_cast<std::uint8_t>(value));
    }
    return bytes;
}

void insert_option(coap_message& message, coap_option option)
{
    const auto at = std::upper_bound(
        message.options_.begin(), message.options_.end(), option,
        [](const coap_option& a, const coap_option& b)
        { return a.number_ < b.number_; });
    message.options_.insert(at, std::move(option));
}

} // namespace

std::size_t coap_block::size() const
{
    return std::size_t{1} << (size_exponent_ + min_block_exponent);
}

std::size_t coap_block::offset() const
{
    return number_ * size();
}

bool is_request(const coap_message& message)
{
    const auto code = static_cast<std::uint8_t>(message.code_);
    return code != 0 && code <= last_method;
}

bool is_response(const coap_message& message)
{
    const auto code = static_cast<std::uint8_t>(message.code_);
    return code >= first_response && code <= last_response;
}

bool is_idempotent(coap_code method)
{
    switch (method)
    {
    case coap_code::get:
    case coap_code::put:
    case coap_code::del:
    case coap_code::fetch:
    case coap_code::ipatch:
        return true;
    default:
        return false;
    }
}

const coap_option* find_option(const coap_message& message,
                               coap_option_number number)
{
    const auto at = std::find_if(
        message.options_.begin(), message.options_.end(),
        [number](const coap_option& o) { return o.number_ == number; });
    return at == message.options_.end() ? nullptr : &*at;
}

std::optional<std::uint64_t> uint_option(const coap_message& message,
                                         coap_option_number number)
{
    const coap_option* option = find_option(message, number);
    if (option == nullptr || option->value_.size() > max_uint_option_bytes)
    {
        return std::nullopt;
    }
    return read_uint(option->value_);
}

std::optional<coap_block> block_option(const coap_message& message,
                                       coap_option_number number)
{
    const coap_option* option = find_option(message, number);
    if (option == nullptr || option->value_.size() > max_block_option_bytes)
    {
        return std::nullopt;
    }
    const auto value = static_cast<std::uint32_t>(read_uint(option->value_));
    coap_block block;
    block.number_ = value >> block_number_shift;
    block.more_ = (value & more_bit) != 0;
    block.size_exponent_ = static_cast<std::uint8_t>(value & exponent_mask);
    if (block.size_exponent_ > max_size_exponent)
    {
        return std::nullopt;
    }
    return block;
}

std::string uri_path(const coap_message& message)
{
    std::string path;
    for (const coap_option& option : message.options_)
    {
        if (option.number_ == coap_option_number::uri_path)
        {
            path += '/';
            path.append(option.value_.begin(), option.value_.end());
        }
    }
    return path.empty() ? "/" : path;
}

trace_context trace_of(const coap_message& message)
{
    trace_context trace;
    const coap_option* option = find_option(message, coap_option_number::trace);
    if (option == nullptr || option->value_.size() != trace_option_bytes)
    {
        return trace;
    }
    const auto* value = option->value_.data();
    std::copy_n(value, trace_id_bytes, trace.trace_id_.begin());
    std::copy_n(value + trace_id_bytes, span_id_bytes, trace.span_id_.begin());
    trace.sampled_ = option->value_.back() == 1;
    return trace;
}

void set_option(coap_message& message, coap_option_number number,
                byte_buffer value)
{
    remove_option(message, number);
    insert_option(message, {number, std::move(value)});
}

void set_uint_option(coap_message& message, coap_option_number number,
                     std::uint64_t value)
{
    set_option(message, number, shortest_uint(value));
}

void set_block_option(coap_message& message, coap_option_number number,
                      const coap_block& block)
{
    const std::uint32_t value = (block.number_ << block_number_shift) |
                                (block.more_ ? more_bit : 0U) |
                                block.size_exponent_;
    set_uint_option(message, number, value);
}

void set_uri_path(coap_message& message, const std::string& path)
{
    remove_option(message, coap_option_number::uri_path);
    std::size_t start = 1;
    while (start < path.size())
    {
        const std::size_t end = std::min(path.find('/', start), path.size());
        const std::string segment = path.substr(start, end - start);
        insert_option(message, {coap_option_number::uri_path,
                                byte_buffer(segment.begin(), segment.end())});
        start = end + 1;
    }
}

void set_trace(coap_message& message, const trace_context& trace)
{
    byte_buffer value(trace.trace_id_.begin(), trace.trace_id_.end());
    value.insert(value.end(), trace.span_id_.begin(), trace.span_id_.end());
    value.push_back(trace.sampled_ ? 1 : 0);
    set_option(message, coap_option_number::trace, std::move(value));
}

void remove_option(coap_message& message, coap_option_number number)
{
    auto& options = message.options_;
    options.erase(std::remove_if(options.begin(), options.end(),
                                 [number](const coap_option& o)
                                 { return o.number_ == number; }),
                  options.end());
}

coap_message make_coap_response(const coap_message& request, coap_code code)
{
    coap_message response;
    response.type_ = request.type_ == coap_type::confirmable
                         ? coap_type::acknowledgement
                         : coap_type::non_confirmable;
    response.code_ = code;
    response.message_id_ = request.message_id_;
    response.token_ = request.token_;
    return response;
}

coap_message make_error_response(const coap_message& request,
                                 const verdict& outcome,
                                 std::chrono::seconds retry_after)
{
    const bool did_not_run = outcome.run_state_ == run_state::did_not_run;
    coap_message response =
        make_coap_response(request, did_not_run ? coap_code::service_unavailable
                                                : coap_code::gateway_timeout);
    if (did_not_run)
    {
        set_uint_option(response, coap_option_number::max_age,
                        static_cast<std::uint64_t>(retry_after.count()));
    }
    const std::string reason = to_string(outcome.reason_);
    response.payload_.assign(reason.begin(), reason.end());
    return response;
}

} // namespace galenafork
