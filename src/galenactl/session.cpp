#include <galenactl/session.h>

#include <galenafork/platform_client.h>

#include <array>
#include <chrono>
#include <ctime>

namespace galenafork::ctl
{

namespace
{

// An operator's command may ask for each service in turn.
constexpr token_rate calls_of_a_command{100, 200};

std::mt19937_64 seeded_engine()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
}

platform_settings settings_for(const arguments& given)
{
    platform_settings settings;
    settings.address_ = given.platform_.value();
    settings.call_deadline_ = std::chrono::milliseconds(given.deadline_ms_);
    settings.call_rate_ = calls_of_a_command;
    return settings;
}

} // namespace

session::session(const arguments& given)
    : io_(kj::setupAsyncIo()), random_(seeded_engine())
{
    platform_dependencies dependencies{
        io_.provider->getTimer(), io_.provider->getNetwork(),
        read_monotonic_clock,
        [this] { return std::uniform_real_distribution<>(0, 1)(random_); }};
    store_ = std::make_unique<platform_client>(settings_for(given),
                                               std::move(dependencies));
}

session::~session() noexcept(false) = default;

platform_store& session::store()
{
    return *store_;
}

write_id session::new_write_id()
{
    const std::uint64_t high = random_();
    return make_write_id(high, random_());
}

std::string utc_now()
{
    const std::time_t now =
        std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
    std::tm parts{};
    gmtime_r(&now, &parts);
    std::array<char, 32> text{};
    const std::size_t length =
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text.data(), length};
}

} // namespace galenafork::ctl
