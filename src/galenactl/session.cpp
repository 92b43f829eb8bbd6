#include <galenactl/session.h>

#include <galenafork/platform_client.h>

#include <array>
#include <chrono>
#include <ctime>

namespace galenafork::ctl
{

namespace
{

// Above the default rate, since a command may read the roster of each service.
constexpr token_rate command_call_rate{100, 200};

std::mt19937_64 seeded_engine()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
}

platform_settings settings_for(const arguments& args)
{
    platform_settings settings;
    settings.address_ = args.platform_.value();
    settings.call_deadline_ = std::chrono::milliseconds(args.deadline_ms_);
    settings.call_rate_ = command_call_rate;
    return settings;
}

} // namespace

session::session(const arguments& args)
    : io_(kj::setupAsyncIo()), random_(seeded_engine())
{
    platform_dependencies dependencies{
        io_.provider->getTimer(), io_.provider->getNetwork(),
        read_monotonic_clock,
        [this] { return std::uniform_real_distribution<>(0, 1)(random_); }};
    store_ = std::make_unique<platform_client>(settings_for(args),
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
    std::tm utc{};
    gmtime_r(&now, &utc);
    std::array<char, 32> text{};
    const std::size_t length =
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &utc);
    return {text.data(), length};
}

} // namespace galenafork::ctl
