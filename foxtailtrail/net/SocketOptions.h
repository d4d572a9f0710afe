#pragma once

namespace foxtail {

// Has the kernel notice a peer that vanished without a reset, by keep-alive probes and by data that is not acknowledged. Also sends
// small messages at once.
void configureSocket(int descriptor);

}
