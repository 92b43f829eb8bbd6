#include <galenafork/coap.h>
#include <galenafork/wire.h>

#include <algorithm>
#include <coap3/coap.h>
#include <memory>

namespace galenafork
{

namespace
{

constexpr std::size_t header_bytes = 4;
constexpr std::uint8_t version_bits = 0x40;
constexpr unsigned type_shift = 4;
constexpr std::uint8_t payload_marker = 0xff;

struct pdu_deleter
{
    void operator()(coap_pdu_t* pdu) const
    {
        coap_delete_pdu(pdu);
    }
};

// Lets libcoap log critical errors only: malformed datagrams are counted and
// must not fill the log.
void limit_libcoap_logging()
{
    static const bool done = []
    {
        coap_set_log_level(LOG_CRIT);
        return true;
    }();
    static_cast<void>(done);
}

using pdu_handle = std::unique_ptr<coap_pdu_t, pdu_deleter>;

tl::unexpected<error> bad_message(const char* reason)
{
    return tl::unexpected(error{error_code::bad_message, reason});
}

void read_token(const coap_pdu_t& pdu, coap_message& message)
{
    const coap_bin_const_t token = coap_pdu_get_token(&pdu);
    message.token_.assign(token.s, token.s + token.length);
}

void read_options(const coap_pdu_t& pdu, coap_message& message)
{
    coap_opt_iterator_t iterator;
    coap_option_iterator_init(&pdu, &iterator, COAP_OPT_ALL);
    while (const coap_opt_t* option = coap_option_next(&iterator))
    {
        const std::uint8_t* value = coap_opt_value(option);
        coap_option parsed;
        parsed.number_ = static_cast<coap_option_number>(iterator.number);
        parsed.value_.assign(value, value + coap_opt_length(option));
        message.options_.push_back(std::move(parsed));
    }
}

void read_payload(const coap_pdu_t& pdu, coap_message& message)
{
    std::size_t size = 0;
    const std::uint8_t* data = nullptr;
    if (coap_get_data(&pdu, &size, &data) != 0)
    {
        message.payload_.assign(data, data + size);
    }
}

void write_header(const coap_message& message, byte_buffer& out)
{
    const auto type = static_cast<unsigned>(message.type_) << type_shift;
    out.push_back(
        static_cast<std::uint8_t>(version_bits | type | message.token_.size()));
    out.push_back(static_cast<std::uint8_t>(message.code_));
    out.push_back(static_cast<std::uint8_t>(message.message_id_ >> 8U));
    out.push_back(static_cast<std::uint8_t>(message.message_id_));
    out.insert(out.end(), message.token_.begin(), message.token_.end());
}

bool write_option(const coap_option& option, std::uint16_t delta,
                  byte_buffer& out)
{
    const std::size_t length = option.value_.size();
    const std::size_t size = coap_opt_encode_size(delta, length);
    const std::size_t start = out.size();
    out.resize(start + size);
    return size != 0 && coap_opt_encode(out.data() + start, size, delta,
                                        option.value_.data(), length) == size;
}

bool write_options(std::vector<coap_option> options, byte_buffer& out)
{
    std::stable_sort(options.begin(), options.end(),
                     [](const coap_option& a, const coap_option& b)
                     { return a.number_ < b.number_; });
    std::uint16_t previous = 0;
    for (const coap_option& option : options)
    {
        const auto number = static_cast<std::uint16_t>(option.number_);
        const auto delta = static_cast<std::uint16_t>(number - previous);
        if (!write_option(option, delta, out))
        {
            return false;
        }
        previous = number;
    }
    return true;
}

} // namespace

tl::expected<coap_message, error> parse_coap(const std::uint8_t* bytes,
                                             std::size_t size)
{
    if (size < header_bytes || size > max_datagram_bytes)
    {
        return bad_message("invalid size of a CoAP message");
    }
    limit_libcoap_logging();
    const pdu_handle pdu(
        coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, size));
    if (!pdu || coap_pdu_parse(COAP_PROTO_UDP, bytes, size, pdu.get()) == 0)
    {
        return bad_message("not a CoAP message");
    }
    coap_message message;
    message.type_ = static_cast<coap_type>(coap_pdu_get_type(pdu.get()));
    message.code_ = static_cast<coap_code>(coap_pdu_get_code(pdu.get()));
    message.message_id_ =
        static_cast<std::uint16_t>(coap_pdu_get_mid(pdu.get()));
    read_token(*pdu, message);
    read_options(*pdu, message);
    read_payload(*pdu, message);
    return message;
}

tl::expected<byte_buffer, error> encode_coap(const coap_message& message)
{
    if (message.token_.size() > max_coap_token_bytes)
    {
        return bad_message("CoAP token is too long");
    }
    byte_buffer out;
    write_header(message, out);
    if (!write_options(message.options_, out))
    {
        return bad_message("CoAP option is too long");
    }
    if (!message.payload_.empty())
    {
        out.push_back(payload_marker);
        out.insert(out.end(), message.payload_.begin(), message.payload_.end());
    }
    if (out.size() > max_datagram_bytes)
    {
        return bad_message("CoAP message is too long");
    }
    return out;
}

} // namespace galenafork
