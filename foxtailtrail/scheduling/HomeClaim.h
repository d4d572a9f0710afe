#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>

namespace foxtail {

// The claim that a backend server reports: the VM that is its home, and the epoch of the claim.
struct ServerClaim {
    uint64_t epoch = 0;
    VmId holder;
};

// The outcome of a platform_claim call.
enum class ClaimAnswer : uint8_t {
    Accepted,
    // Another claim was accepted first.
    Refused,
    // No reply: the claim may or may not have taken effect.
    NoReply,
};

// The action that follows an event.
enum class HomeClaimAction : uint8_t {
    None,
    // Reads the claim from the server, over a reserved connection.
    Read,
    // Sends platform_claim(self, epoch()).
    Claim,
    // Opens the connection pool with the epoch.
    OpenPool,
    // Closes all connections, fails the waiting requests with NotHome, and evaluates the placement again.
    ClosePool,
};

enum class HomeClaimState : uint8_t {
    // This VM is not the home and does not try to be.
    Idle,
    Reading,
    Claiming,
    Held,
    // A read or a claim failed, or the claim was lost; the next attempt follows after a delay.
    BackingOff,
};

// Settings of HomeClaim.
struct HomeClaimSettings {
    // A read or claim without a reply counts as lost after this time.
    Duration answerTimeout = std::chrono::milliseconds(500);
    // The delay after a read or claim that failed.
    Duration retryDelay = std::chrono::milliseconds(50);
    // The delay after another VM's claim was accepted first, doubled each time up to the maximum. Without it, two VMs that both
    // assume that they are the home would keep closing each other's connections.
    Duration initialBackoffDelay = std::chrono::seconds(1);
    Duration maxBackoffDelay = std::chrono::seconds(8);
    // Holding a claim for this long resets the backoff delay.
    Duration backoffResetDelay = std::chrono::seconds(10);
};

// Makes this VM the home of one backend server. Only an accepted claim of this process makes it the home: it never adopts an epoch
// that it reads, not even under its own id, as that may be a claim of an earlier process of the VM. After a lost reply it reads the
// claim and claims the next epoch.
class HomeClaim {
public:
    HomeClaim(HomeClaimSettings, VmId self);

    // Starts to acquire the claim, because the placement chose this VM. Has no effect if it is already acquiring or holding the
    // claim.
    HomeClaimAction acquire(TimePoint now);

    // Releases the claim, because the placement chose another VM or this VM is leaving.
    HomeClaimAction release();

    // Handles the claim that the server reported.
    HomeClaimAction onClaimRead(const ServerClaim&, TimePoint now);

    // Handles a failed read.
    HomeClaimAction onReadFailed(TimePoint now);

    // Handles the answer to the claim of the given epoch. Answers to earlier claims are ignored.
    HomeClaimAction onClaimAnswered(uint64_t epoch, ClaimAnswer, TimePoint now);

    // Handles the refusal of a connection or command because its epoch is not the newest (FT004).
    HomeClaimAction onEpochSuperseded(uint64_t epoch, TimePoint now);

    // Handles timeouts. Must be called at least every 50 ms.
    HomeClaimAction tick(TimePoint now);

    HomeClaimState state() const { return this->currentState; }
    bool isHeld() const { return this->currentState == HomeClaimState::Held; }

    // Returns the epoch that is claimed or held.
    uint64_t epoch() const { return this->claimedEpoch; }

    // Returns the last claim that the server reported, which names the home if that is another VM.
    const ServerClaim& lastServerClaim() const { return this->serverClaim; }

private:
    HomeClaimAction startRead(TimePoint now);
    HomeClaimAction backOff(Duration, TimePoint now);
    HomeClaimAction onClaimLost(TimePoint now);

    HomeClaimSettings settings;
    VmId self;
    HomeClaimState currentState = HomeClaimState::Idle;
    uint64_t claimedEpoch = 0;
    ServerClaim serverClaim;
    // When the outstanding call times out, or the backoff delay ends.
    TimePoint deadline;
    uint32_t consecutiveLosses = 0;
    TimePoint acquiredAt;
};

}
