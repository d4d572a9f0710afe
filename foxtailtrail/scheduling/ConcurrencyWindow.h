#pragma once

#include "foxtailtrail/base/Time.h"

#include <cstddef>

namespace foxtail {

// The number of statements that a VM runs on one backend server at a time. It is at most what keeps the server busy. The window halves when
// the server refuses work as busy and grows by one for each round of replies, so that the VMs that share a server find its capacity without
// communicating with each other.
class ConcurrencyWindow {
public:
    // Handles a refusal by a busy server. Returns when the next statement may be sent to it; the jitter, from 0 to 1, prevents VMs
    // from returning at the same time.
    TimePoint recordBusy(TimePoint now, double jitter);
    // Handles the reply to a statement.
    void recordReply();

    // Sets the number of statements that keep the server busy; the window does not exceed it.
    void setCeiling(size_t);

    size_t size() const { return static_cast<size_t>(this->window); }

private:
    double window = 16;
    double ceiling = 32;
    // Whether the server has refused work as busy since the window last had its full size.
    bool isReduced = false;
    TimePoint shrunkAt {};
    // Refusals without a reply in between, for the exponential delay.
    unsigned consecutiveRefusals = 0;
};

}
