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

// Decodes `bytes`, a heap buffer of the exact size, so that the address
// sanitizer detects a read past its end. A message that is accepted must be
// accepted again after encoding.
void check_decode(const byte_buffer& bytes)
{
    const auto decoded = decode(bytes.data(), bytes.size());
    if (!decoded.has_value())
    {
        RC_ASSERT(decoded.error().code_ == error_code::bad_message);
        return;
    }
    const byte_buffer reencoded = encode(*decoded);
    RC_ASSERT(decode(reencoded.data(), reencoded.size()).has_value());
}

void check_proxy(const byte_buffer& bytes)
{
    const auto parsed = parse_proxy_header(bytes.data(), bytes.size());
    RC_ASSERT(!parsed.has_value() || parsed->payload_offset_ <= bytes.size());
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
        const byte_buffer encoded = encode(message);
        for (std::size_t size = 0; size < encoded.size(); ++size)
        {
            const byte_buffer truncated(encoded.begin(),
                                        encoded.begin() +
                                            static_cast<std::ptrdiff_t>(size));
            CHECK_FALSE(decode(truncated.data(), truncated.size()).has_value());
        }
    }
}

TEST_CASE("a datagram with trailing bytes is refused")
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

TEST_CASE("datagrams with flipped bits are refused or decoded to an encodable "
          "message")
{
    constexpr int rounds = 20000;
    constexpr unsigned max_flips = 6;
    std::mt19937 random(seed);
    const auto samples = test::sample_datagrams();
    for (int i = 0; i < rounds; ++i)
    {
        byte_buffer bytes = encode(samples[random() % samples.size()]);
        flip_bits(random, bytes, 1 + random() % max_flips);
        check_decode(bytes);
    }
}

TEST_CASE("random segments behind a valid segment table are refused or decoded "
          "to an encodable message")
{
    constexpr int rounds = 20000;
    constexpr std::size_t max_words = 40;
    std::mt19937 random(seed);
    for (int i = 0; i < rounds; ++i)
    {
        const std::uint32_t words = random() % max_words;
        byte_buffer bytes = random_bytes(random, 8 + words * 8);
        std::fill(bytes.begin(), bytes.begin() + 8, std::uint8_t{0});
        bytes[4] = static_cast<std::uint8_t>(words);
        // Clears the high bytes, so that many pointers have targets inside the
        // segment.
        for (std::size_t at = 8; at < bytes.size(); at += 8)
        {
            bytes[at + 1] = bytes[at + 2] = bytes[at + 3] = 0;
            bytes[at] &= 0x7fU;
            bytes[at + 5] = bytes[at + 7] = 0;
        }
        check_decode(bytes);
    }
}

TEST_CASE(
    "random bytes are decoded and parsed without a read outside the buffer")
{
    // RapidCheck reads its seed only from the environment.
    setenv("RC_PARAMS", "seed=20261204 max_success=2000", 0);
    CHECK(rc::check("decode", check_decode));
    CHECK(rc::check("parse_proxy_header", check_proxy));
}

TEST_CASE("corrupted and truncated PROXY headers are parsed without a read "
          "outside the buffer")
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
