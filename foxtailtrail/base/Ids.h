#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace foxtail {

// A string that identifies one kind of thing. The tag keeps ids of different kinds from being mixed up.
template <typename Tag> struct StringId {
    std::string value;

    StringId() = default;
    explicit StringId(std::string text)
        : value(std::move(text))
    {
    }

    bool empty() const { return this->value.empty(); }
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison with zero in the generated code for a null pointer.
    auto operator<=>(const StringId&) const = default;
};

template <typename Tag> std::ostream& operator<<(std::ostream& stream, const StringId<Tag>& id) { return stream << id.value; }

using VmId = StringId<struct VmIdTag>;
using DataCentre = StringId<struct DataCentreTag>;
using Region = StringId<struct RegionTag>;
using OrganisationId = StringId<struct OrganisationIdTag>;
using DatabaseId = StringId<struct DatabaseIdTag>;
using BackendServerId = StringId<struct BackendServerIdTag>;
using ServiceName = StringId<struct ServiceNameTag>;
using RequestId = StringId<struct RequestIdTag>;
using KeyId = StringId<struct KeyIdTag>;

// The number that fences a primary: a database group has at most one primary per term.
struct Term {
    uint64_t value = 0;
    auto operator<=>(const Term&) const = default; // NOLINT(modernize-use-nullptr)
};

// The number of committed transactions in a database group's log.
struct Position {
    uint64_t value = 0;
    auto operator<=>(const Position&) const = default; // NOLINT(modernize-use-nullptr)
};

// A place in a group's log. Ordered by term, then by position.
struct LogPoint {
    Term term;
    Position position;
    auto operator<=>(const LogPoint&) const = default; // NOLINT(modernize-use-nullptr)
};

}

template <typename Tag> struct std::hash<foxtail::StringId<Tag>> {
    size_t operator()(const foxtail::StringId<Tag>& id) const noexcept { return std::hash<std::string>()(id.value); }
};
