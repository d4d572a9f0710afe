#pragma once

#include "foxtailtrail/base/Time.h"

#include <cstddef>

namespace foxtail {

// Decides whether a statement waits for a connection that its organisation already uses or another one is opened.
//
// It answers a server whose connections are fewer than the organisations that use it: each opening takes a slot of the server about as long
// as a statement, and the connection that is closed for it has to be opened again for its own organisation.
class OpeningPolicy {
public:
    // Handles the return of a connection that ran statements, with the time for which it was held.
    void recordUse(Duration held);
    // Handles the opening of a connection, with the time that it took.
    void recordOpening(Duration taken);

    // Returns whether a connection should be opened for a statement. The organisation has this many connections that run statements now,
    // and this many statements that take them first. The opening may replace a connection of another organisation.
    bool shouldOpen(size_t busyConnections, size_t statementsBefore, Duration waited, bool isReplacement) const;

private:
    // Estimates until connections have been opened and used.
    Duration meanUse = std::chrono::milliseconds(12);
    Duration meanOpening = std::chrono::milliseconds(15);
};

}
