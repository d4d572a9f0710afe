#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace foxtail {

// A string identifier. The tag makes the identifiers of different kinds of objects distinct types.
template <typename Tag> struct StringId {
    std::string value;

    StringId() = default;
    explicit StringId(std::string text)
        : value(std::move(text))
    {
    }

    bool empty() const { return this->value.empty(); }
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 mistakes the zero in the generated comparison for a null pointer.
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

// The fencing number of a primary. A database group has at most one primary per term.
struct Term {
    uint64_t value = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): as above.
    auto operator<=>(const Term&) const = default;
};

// A position in a database group's log: the number of transactions committed up to it.
struct Position {
    uint64_t value = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): as above.
    auto operator<=>(const Position&) const = default;
};

// A point in a database group's log, ordered by term and then by position.
struct LogPoint {
    Term term;
    Position position;
    // NOLINTNEXTLINE(modernize-use-nullptr): as above.
    auto operator<=>(const LogPoint&) const = default;
};

}

template <typename Tag> struct std::hash<foxtail::StringId<Tag>> {
    size_t operator()(const foxtail::StringId<Tag>& id) const noexcept { return std::hash<std::string>()(id.value); }
};
