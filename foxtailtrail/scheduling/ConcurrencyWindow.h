#pragma once

#include "foxtailtrail/base/Time.h"

#include <cstddef>

namespace foxtail {

// How many statements a VM runs on one backend server at a time. The window shrinks by half when the server refuses work as busy
// and grows by one for each round of answers, so that the VMs that share a server find its capacity without talking to each other.
class ConcurrencyWindow {
public:
    // The server refused work. Returns when the next statement may be sent to it; the spread, from 0 to 1, keeps VMs from coming
    // back at the same moment.
    TimePoint recordBusy(TimePoint now, double spread);
    // The server answered a statement.
    void recordReply();

    size_t size() const { return static_cast<size_t>(this->window); }

private:
    double window = 16;
    TimePoint shrunkAt {};
    // Refusals in a row, for the growing pause.
    unsigned consecutiveRefusals = 0;
};

}
