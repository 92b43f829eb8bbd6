#include "samples.h"

#include <galenafork/proxy_protocol.h>
#include <galenafork/wire.h>

#include <algorithm>
#include <cstdlib>
#include <doctest/doctest.h>
#include <random>
#include <rapidcheck.h>

using namespace galenafork;

namespace
{

constexpr unsigned seed = 20261204;

// Reads a copy of the exact size on the heap, so that the address sanitizer
// sees a read past the end. What is accepted must be written back readably.
void check_decode(const byte_buffer& bytes)
{
    const auto read = decode(bytes.data(), bytes.size());
    if (!read.has_value())
    {
        RC_ASSERT(read.error().code_ == error_code::bad_message);
        return;
    }
    const byte_buffer again = encode(*read);
    RC_ASSERT(decode(again.data(), again.size()).has_value());
}

void check_proxy(const byte_buffer& bytes)
{
    const auto read = parse_proxy_header(bytes.data(), bytes.size());
    RC_ASSERT(!read.has_value() || read->payload_offset_ <= bytes.size());
}

byte_buffer random_bytes(std::mt19937& random, std::size_t size)
{
    byte_buffer bytes(size);
    for (std::uint8_t& byte : bytes)
    {
        byte = static_cast<std::uint8_t>(random());
    }
    return bytes;
}

void flip_bits(std::mt19937& random, byte_buffer& bytes, unsigned count)
{
    for (unsigned i = 0; i < count; ++i)
    {
        bytes[random() % bytes.size()] ^=
            static_cast<std::uint8_t>(1U << (random() % 8));
    }
}

} // namespace

TEST_CASE("a truncated datagram is refused at every length")
{
    for (const datagram& message : test::sample_datagrams())
    {
        const byte_buffer whole = encode(message);
        for (std::size_t size = 0; size < whole.size(); ++size)
        {
            const byte_buffer part(whole.begin(),
                                   whole.begin() +
                                       static_cast<std::ptrdiff_t>(size));
            CHECK_FALSE(decode(part.data(), part.size()).has_value());
        }
    }
}

TEST_CASE("trailing bytes are refused")
{
    byte_buffer bytes = encode(test::sample_packet());
    for (int i = 0; i < 16; ++i)
    {
        bytes.push_back(0);
        CHECK_FALSE(decode(bytes.data(), bytes.size()).has_value());
    }
}

TEST_CASE("an oversized datagram is refused")
{
    forwarded_packet packet = test::sample_packet();
    packet.payload_.resize(max_datagram_bytes);
    const byte_buffer bytes = encode(packet);
    CHECK_FALSE(decode(bytes.data(), bytes.size()).has_value());
}

TEST_CASE("datagrams with flipped bits do no harm")
{
    constexpr int rounds = 20000;
    constexpr unsigned most_flips = 6;
    std::mt19937 random(seed);
    const auto samples = test::sample_datagrams();
    for (int i = 0; i < rounds; ++i)
    {
        byte_buffer bytes = encode(samples[random() % samples.size()]);
        flip_bits(random, bytes, 1 + random() % most_flips);
        check_decode(bytes);
    }
}

TEST_CASE("random segments behind a good segment table do no harm")
{
    constexpr int rounds = 20000;
    constexpr std::size_t most_words = 40;
    std::mt19937 random(seed);
    for (int i = 0; i < rounds; ++i)
    {
        const std::uint32_t words = random() % most_words;
        byte_buffer bytes = random_bytes(random, 8 + words * 8);
        std::fill(bytes.begin(), bytes.begin() + 8, std::uint8_t{0});
        bytes[4] = static_cast<std::uint8_t>(words);
        // Small values in the high bytes make pointers that land inside.
        for (std::size_t at = 8; at < bytes.size(); at += 8)
        {
            bytes[at + 1] = bytes[at + 2] = bytes[at + 3] = 0;
            bytes[at] &= 0x7fU;
            bytes[at + 5] = bytes[at + 7] = 0;
        }
        check_decode(bytes);
    }
}

TEST_CASE("random bytes do no harm")
{
    // Rapidcheck takes its seed from the environment only.
    setenv("RC_PARAMS", "seed=20261204 max_success=2000", 0);
    CHECK(rc::check("decode", check_decode));
    CHECK(rc::check("parse_proxy_header", check_proxy));
}

TEST_CASE("PROXY headers with flipped bits or cut short do no harm")
{
    constexpr int rounds = 20000;
    std::mt19937 random(seed);
    const proxy_header header{*parse_endpoint("[2001:db8::7]:258"),
                              *parse_endpoint("10.9.0.1:5683"),
                              test::sample_packet().trace_};
    for (int i = 0; i < rounds; ++i)
    {
        byte_buffer bytes = make_proxy_datagram(header, {1, 2, 3});
        flip_bits(random, bytes, 2);
        bytes.resize(random() % (bytes.size() + 1));
        bytes.shrink_to_fit();
        check_proxy(bytes);
    }
}
