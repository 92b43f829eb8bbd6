#include <galenafork/settings.h>

#include <doctest/doctest.h>

using namespace galenafork;

namespace
{

struct inner_settings
{
    duration wait_{};
    byte_count buffer_;
};

struct sample_settings
{
    instance_id instance_;
    endpoint listen_;
    std::vector<endpoint> peers_;
    std::uint64_t threads_ = 1;
    inner_settings inner_;
};

void read_settings(settings_section& top, sample_settings& s)
{
    top.required("instance", s.instance_)
        .required("listen", s.listen_)
        .optional("peers", s.peers_)
        .optional("threads", s.threads_, {1, 64});
    auto inner = top.section("inner");
    inner
        .required("wait", s.inner_.wait_,
                  {std::chrono::milliseconds(1), std::chrono::seconds(5)})
        .optional("buffer", s.inner_.buffer_);
    inner.report_unknown_keys();
}

std::string errors_of(const std::string& text)
{
    const auto result = settings_from_text<sample_settings>(text);
    return result ? "" : format_settings_errors("x.toml", result.error());
}

} // namespace

TEST_CASE("settings with units are converted to strong types")
{
    const auto result = settings_from_text<sample_settings>(R"(
instance = "b-1"
listen = "127.0.0.1:5000"
peers = ["127.0.0.1:1", "[::1]:2"]
threads = 2
[inner]
wait = "150 ms"
buffer = "64 KiB"
)");
    REQUIRE(result.has_value());
    CHECK(result->instance_ == instance_id("b-1"));
    CHECK(to_string(result->listen_) == "127.0.0.1:5000");
    CHECK(result->peers_.size() == 2);
    CHECK(result->threads_ == 2);
    CHECK(result->inner_.wait_ == std::chrono::milliseconds(150));
    CHECK(result->inner_.buffer_ == byte_count(65536));
}

TEST_CASE("all errors of a file are reported at once, in order")
{
    CHECK(errors_of(R"(instance = "Not A Name"
listen = "localhost:80"
peers = ["127.0.0.1:1", "nowhere"]
threads = 100
colour = "red"
[inner]
wait = "150 furlongs"
buffer = 64
[outer]
a = 1
)") == "x.toml:1:1: instance must be a name in quotes: 1 to 63 of a-z, 0-9 "
       "and -\n"
       "x.toml:2:1: listen 'localhost:80' is not an IP address and port\n"
       "x.toml:3:1: peers 'nowhere' is not an IP address and port\n"
       "x.toml:4:1: threads must be from 1 to 64\n"
       "x.toml:5:1: colour is not a known setting\n"
       "x.toml:7:1: inner.wait must be a time with its unit, such as "
       "\"150 ms\" (us, ms, s, min, h)\n"
       "x.toml:8:1: inner.buffer must be a size with its unit, such as "
       "\"64 KiB\" (B, KiB, MiB)\n"
       "x.toml:9:2: outer is not a known section\n");
}

TEST_CASE(
    "missing keys, values in place of sections and durations out of range are "
    "errors")
{
    CHECK(errors_of("instance = \"a\"\ninner = 3\n") ==
          "x.toml:1:1: listen is missing\n"
          "x.toml:1:1: inner.wait is missing\n"
          "x.toml:2:1: inner must be a section\n");
    CHECK(errors_of("instance = \"a\"\nlisten = \"1.2.3.4:5\"\n"
                    "[threads]\n[inner]\nwait = \"6 s\"\n") ==
          "x.toml:3:2: threads must be a value, not a section\n"
          "x.toml:5:1: inner.wait must be from 1 ms to 5 s\n");
}

TEST_CASE("a syntax error is reported with its line and column")
{
    const std::string text = errors_of("instance = \"a\"\nlisten = = 3\n");
    CHECK(text.rfind("x.toml:2:10: ", 0) == 0);
}

TEST_CASE(
    "quantities that overflow, lack a unit or have another form are rejected")
{
    for (const char* text : {"150", "ms", "150ms", "-1 s", "1.5 s",
                             "99999999999999999999 s", "9999999999999999 h"})
    {
        CAPTURE(text);
        setting_value value;
        value.kind_ = setting_kind::text;
        value.text_ = text;
        duration out{};
        CHECK_FALSE(convert(value, out).has_value());
    }
}
