/// \file
/// A wrapper that gives a plain value a type of its own, so that the compiler
/// catches one kind of id or unit used as another.

#ifndef GALENAFORK_STRONG_TYPE_H
#define GALENAFORK_STRONG_TYPE_H

#include <cstddef>
#include <functional>
#include <utility>

namespace galenafork
{

/// A value of type `Rep` without implicit conversions. `Tag` is any type
/// that names the kind of value; it is never instantiated. Comparison and
/// hashing are those of `Rep`.
template <class Tag, class Rep>
class strong_type
{
public:
    using rep = Rep;

    constexpr strong_type() = default;
    constexpr explicit strong_type(Rep value) : value_(std::move(value)) {}

    /// Returns the wrapped value.
    constexpr const Rep& value() const
    {
        return value_;
    }

    friend constexpr bool operator==(const strong_type& a, const strong_type& b)
    {
        return a.value_ == b.value_;
    }
    friend constexpr bool operator!=(const strong_type& a, const strong_type& b)
    {
        return !(a == b);
    }
    friend constexpr bool operator<(const strong_type& a, const strong_type& b)
    {
        return a.value_ < b.value_;
    }
    friend constexpr bool operator>(const strong_type& a, const strong_type& b)
    {
        return b < a;
    }
    friend constexpr bool operator<=(const strong_type& a, const strong_type& b)
    {
        return !(b < a);
    }
    friend constexpr bool operator>=(const strong_type& a, const strong_type& b)
    {
        return !(a < b);
    }

private:
    Rep value_{};
};

} // namespace galenafork

/// Hashes a strong type as its representation.
template <class Tag, class Rep>
struct std::hash<galenafork::strong_type<Tag, Rep>>
{
    std::size_t
    operator()(const galenafork::strong_type<Tag, Rep>& v) const noexcept
    {
        return std::hash<Rep>()(v.value());
    }
};

#endif
