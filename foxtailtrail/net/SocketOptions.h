#pragma once

namespace foxtail {

// Makes the kernel detect a peer that disappeared without a reset, by keep-alive probes and by unacknowledged data. Also disables
// Nagle's algorithm, so that small messages are sent immediately.
void configureSocket(int descriptor);

}
