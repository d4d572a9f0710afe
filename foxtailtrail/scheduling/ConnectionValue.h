#pragma once

#include "foxtailtrail/base/Time.h"

#include <cstddef>
#include <map>
#include <string>

namespace foxtail {

// What the connections of an organisation to one backend server are worth, for the choice of the one to close when there is no room.
//
// It answers a server whose connections are fewer than the organisations that use it, a few of which send most statements: a connection
// that was idle for long may belong to an organisation that will need it next, and the one used last to an organisation that rarely comes.
class ConnectionValue {
public:
    // Records the start of a statement on a connection of the organisation.
    void recordUse(const std::string& organisation, TimePoint now);
    // Returns the recent uses of the organisation for each of its connections.
    double valueOf(const std::string& organisation, size_t connections, TimePoint now) const;

private:
    struct Use {
        double count = 0;
        TimePoint countedAt {};
        double at(TimePoint now) const;
    };
    std::map<std::string, Use> uses;
    TimePoint forgetAt {};
};

}
