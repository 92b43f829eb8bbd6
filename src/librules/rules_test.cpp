#include <galenafork/rules.h>
#include <galenafork/rules_object.h>

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace galenafork;

namespace
{

// A fixed seed makes every run check the same cases.
constexpr std::uint64_t property_seed = 20261204;
constexpr int property_runs = 500;

template <class Property>
bool holds(Property&& property)
{
    rc::detail::TestParams params;
    params.seed = property_seed;
    params.maxSuccess = property_runs;
    const auto result = rc::detail::checkTestable(
        std::forward<Property>(property), rc::detail::TestMetadata{}, params);
    rc::detail::printResultMessage(result, std::cerr);
    return result.template is<rc::detail::SuccessResult>();
}

rc::Gen<rule> any_rule()
{
    const auto name_character = rc::gen::elementOf(std::string("abcxyz019-"));
    const auto comment_character =
        rc::gen::elementOf(std::string("Jana, 42.>#"));
    return rc::gen::map(
        rc::gen::tuple(
            rc::gen::arbitrary<std::uint32_t>(),
            rc::gen::inRange<int>(1, 65536), rc::gen::arbitrary<bool>(),
            rc::gen::nonEmpty(rc::gen::container<std::string>(name_character)),
            rc::gen::container<std::string>(comment_character)),
        [](const std::tuple<std::uint32_t, int, bool, std::string, std::string>&
               t)
        {
            const std::uint32_t a = std::get<0>(t);
            rule r;
            r.address_.address_ =
                make_v4(10, static_cast<std::uint8_t>(a >> 16U),
                        static_cast<std::uint8_t>(a >> 8U),
                        static_cast<std::uint8_t>(a));
            r.address_.port_ = static_cast<std::uint16_t>(std::get<1>(t));
            r.kind_ = std::get<2>(t) ? rule_kind::udp : rule_kind::coap;
            r.service_ = service_name(std::get<3>(t).substr(0, max_name_bytes));
            r.requested_by_ = "by" + std::get<4>(t) + "x";
            return r;
        });
}

rules_proposal make_proposal(const std::string& text, const std::string& id)
{
    return {text, "jana", "2026-12-04T05:30:00Z", write_id(id)};
}

} // namespace

TEST_CASE("a rule file with blank and comment lines is parsed")
{
    const std::string text = "# workshop\n\n"
                             "udp 10.9.0.1:5683 -> orders   # Jana, office\n"
                             "coap [2001:db8::1]:5683 -> photos # Piotr\r\n";
    const auto parsed = parse_rules(text);
    REQUIRE(parsed.has_value());
    REQUIRE(parsed->rules_.size() == 2);
    CHECK(parsed->rules_[0].requested_by_ == "Jana, office");
    CHECK(parsed->rules_[0].line_ == 3);
    CHECK(parsed->rules_[0].service_column_ == 22);
    CHECK(parsed->rules_[1].kind_ == rule_kind::coap);
    CHECK(parsed->rules_[1].requested_by_ == "Piotr");
    CHECK(parsed->text_ == text);
}

TEST_CASE("all errors are reported at once, with line and column")
{
    const auto parsed = parse_rules("tcp 10.9.0.1:1 -> orders # Jana\n"
                                    "udp 10.9.0.1:99999 -> orders # Jana\n"
                                    "udp 10.9.0.2:1 => Orders\n"
                                    "udp 10.9.0.3:1 -> orders # a\n"
                                    "udp [::ffff:10.9.0.3]:1 -> photos # b\n"
                                    "udp 10.9.0.4:1 -> orders extra # c\n"
                                    "udp 0.0.0.0:1 -> orders # d\n"
                                    "# \xff\n"
                                    "udp 10.9.0.5:1 -> orders #  ");
    REQUIRE_FALSE(parsed.has_value());
    std::vector<std::pair<std::size_t, std::size_t>> positions;
    for (const rule_error& e : parsed.error())
    {
        positions.emplace_back(e.line_, e.column_);
    }
    const std::vector<std::pair<std::size_t, std::size_t>> expected{
        {1, 1}, {2, 5},  {3, 16}, {3, 19}, {3, 25},
        {5, 5}, {6, 26}, {7, 5},  {8, 3},  {9, 26}};
    CHECK(positions == expected);
    CHECK(to_string(parsed.error()[5], "f") ==
          "f:5:5: address 10.9.0.3:1 already has a rule on line 4");
}

TEST_CASE("a file over the size limit is rejected")
{
    CHECK_FALSE(parse_rules(std::string(max_rules_bytes + 1, '\n')));
}

TEST_CASE("no text crashes the parser, and errors have positions in the text")
{
    const auto alphabet = std::string("udpcoa 0193.:[]->#\n\r\t\xc3\xa9\x01x");
    CHECK(holds(
        [&]
        {
            const auto text = *rc::gen::container<std::string>(rc::gen::oneOf(
                rc::gen::elementOf(alphabet), rc::gen::arbitrary<char>()));
            const auto parsed = parse_rules(text);
            if (!parsed)
            {
                const auto lines = static_cast<std::size_t>(
                    1 + std::count(text.begin(), text.end(), '\n'));
                for (const rule_error& e : parsed.error())
                {
                    RC_ASSERT(e.line_ >= 1U);
                    RC_ASSERT(e.line_ <= lines);
                    RC_ASSERT(e.column_ >= 1U);
                }
            }
        }));
}

TEST_CASE("formatted rules are parsed back unchanged")
{
    CHECK(holds(
        []
        {
            const auto rules = *rc::gen::uniqueBy<std::vector<rule>>(
                any_rule(), [](const rule& r) { return r.address_; });
            const auto parsed = parse_rules(format_rules(rules));
            RC_ASSERT(parsed.has_value());
            RC_ASSERT((parsed->rules_ == rules));
            RC_ASSERT(diff_rules(*parsed, *parsed).empty());
        }));
}

TEST_CASE("rule files are compared by address")
{
    const auto before = *parse_rules("udp 10.0.0.1:1 -> a # x\n"
                                     "udp 10.0.0.2:1 -> a # x\n");
    const auto after = *parse_rules("udp 10.0.0.2:1 -> b # x\n"
                                    "udp 10.0.0.3:1 -> a # x\n");
    const rules_diff diff = diff_rules(before, after);
    REQUIRE(diff.removed_.size() == 1);
    REQUIRE(diff.changed_.size() == 1);
    REQUIRE(diff.added_.size() == 1);
    CHECK(diff.removed_[0] == before.rules_[0]);
    CHECK(diff.changed_[0].after_ == after.rules_[0]);
    CHECK(diff.added_[0] == after.rules_[1]);
    CHECK(find_rule(before, after.rules_[1].address_) == nullptr);
}

TEST_CASE("every version can be rebuilt from the history")
{
    CHECK(holds(
        []
        {
            const auto line = rc::gen::element<std::string>("a", "b", "", "c");
            const auto text =
                rc::gen::map(rc::gen::container<std::vector<std::string>>(line),
                             [](const std::vector<std::string>& lines)
                             {
                                 std::string joined;
                                 for (const std::string& l : lines)
                                 {
                                     joined += l + "\n";
                                 }
                                 return joined;
                             });
            const auto texts = *rc::gen::nonEmpty(
                rc::gen::container<std::vector<std::string>>(text));
            std::optional<rules_object> object;
            for (const std::string& t : texts)
            {
                object = next_rules_object(object, make_proposal(t, "w"));
            }
            const auto read = rules_object_from_json(to_json(*object));
            RC_ASSERT(read.has_value());
            for (std::size_t i = 0; i < texts.size(); ++i)
            {
                const auto at = rules_text_at(*read, rules_version(i + 1));
                RC_ASSERT(at.has_value());
                RC_ASSERT(*at == texts[i]);
            }
        }));
}

TEST_CASE("versions dropped from the limited history are reported as not found")
{
    std::optional<rules_object> object;
    for (std::size_t i = 0; i < max_history_entries + 1; ++i)
    {
        object =
            next_rules_object(object, make_proposal(std::to_string(i), "w"));
    }
    CHECK(object->history_.size() == max_history_entries);
    // The oldest edit in the history leads back to the version before it.
    CHECK(rules_text_at(*object, rules_version(1)).has_value());
    object = next_rules_object(object, make_proposal("last", "w"));
    const auto dropped = rules_text_at(*object, rules_version(1));
    REQUIRE_FALSE(dropped.has_value());
    CHECK(dropped.error().code_ == error_code::not_found);
}

TEST_CASE("a malformed rules object is rejected")
{
    for (const char* text :
         {"", "{}", "[]", R"({"version":"x"})",
          R"({"version":-1,"text":"","author":"","time":"","write_id":"",
              "history":[]})"})
    {
        CAPTURE(text);
        const auto read = rules_object_from_json(text);
        REQUIRE_FALSE(read.has_value());
        CHECK(read.error().code_ == error_code::bad_message);
    }
}
