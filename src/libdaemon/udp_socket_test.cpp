#include <galenafork/udp_socket.h>

#include <cstring>
#include <doctest/doctest.h>

using namespace galenafork;

namespace
{

unique_fd open_any()
{
    auto fd = open_udp({make_v4(127, 0, 0, 1), 0}, false);
    REQUIRE(fd.has_value());
    return std::move(*fd);
}

} // namespace

TEST_CASE(
    "a batch of datagrams is received unchanged, with the sender's address")
{
    const unique_fd from = open_any();
    const unique_fd to = open_any();
    send_batch out(100);
    for (std::size_t i = 0; i < udp_batch_size; ++i)
    {
        std::memset(out.next(), static_cast<int>(i), i + 1);
        out.add(local_endpoint(to), i + 1);
    }
    CHECK(out.full());
    CHECK(out.flush(from) == 0);
    CHECK_FALSE(out.full());

    receive_batch in(20);
    REQUIRE(in.receive(to) == udp_batch_size);
    for (std::size_t i = 0; i < udp_batch_size; ++i)
    {
        const datagram_view view = in.view(i);
        CHECK(view.from_ == local_endpoint(from));
        CHECK(view.size_ == i + 1);
        CHECK(view.bytes_[0] == i);
    }
    CHECK(in.receive(to) == 0);
}

TEST_CASE("opening a socket on an address in use fails")
{
    const unique_fd first = open_any();
    CHECK_FALSE(open_udp(local_endpoint(first), false).has_value());
}
