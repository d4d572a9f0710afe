#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>

namespace foxtail {

// The claim that a backend server reports: the VM that is its home and the epoch of the claim.
struct ServerClaim {
    uint64_t epoch = 0;
    VmId holder;
};

// How the server answered platform_claim.
enum class ClaimAnswer : uint8_t {
    Accepted,
    // Another claim came first.
    Refused,
    // No answer: the claim may or may not have taken effect.
    NoReply,
};

// What to do after an event.
enum class HomeClaimAction : uint8_t {
    None,
    // Read the claim from the server, over a reserved connection.
    Read,
    // Send platform_claim(self, epoch()).
    Claim,
    // Open the pool with the epoch.
    OpenPool,
    // Close all connections, fail the waiting requests with NotHome, and ask the placement again.
    ClosePool,
};

enum class HomeClaimState : uint8_t {
    // This VM is not home and does not try to be.
    Idle,
    Reading,
    Claiming,
    Held,
    // A read or a claim failed, or the claim was lost; the next attempt comes later.
    BackingOff,
};

// Settings of HomeClaim.
struct HomeClaimSettings {
    // A read or claim without an answer counts as lost after this time.
    Duration answerTimeout = std::chrono::milliseconds(500);
    // The pause after a read or claim that failed.
    Duration retryDelay = std::chrono::milliseconds(50);
    // The pause after another VM's claim came first, doubled each time up to the maximum. Two VMs that both take themselves for
    // the home would otherwise end each other's connections all the time.
    Duration initialBackoffDelay = std::chrono::seconds(1);
    Duration maxBackoffDelay = std::chrono::seconds(8);
    // A claim that was held for this long makes the next pause short again.
    Duration backoffResetDelay = std::chrono::seconds(10);
};

// Makes this VM the home of one backend server. Only an accepted claim of this process makes it the home: it never adopts an
// epoch that it reads, not even under its own name, as that may be a claim of an earlier process of the VM. After a lost reply
// it reads the claim and takes the next epoch.
class HomeClaim {
public:
    HomeClaim(HomeClaimSettings, VmId self);

    // The placement names this VM. Does nothing when it is already trying or home.
    HomeClaimAction acquire(TimePoint now);

    // The placement names another VM, or this VM leaves.
    HomeClaimAction release();

    // The server's answer to a read.
    HomeClaimAction onClaimRead(const ServerClaim&, TimePoint now);

    // The read failed.
    HomeClaimAction onReadFailed(TimePoint now);

    // The answer to the claim of the given epoch. Answers to earlier claims are ignored.
    HomeClaimAction onClaimAnswered(uint64_t epoch, ClaimAnswer, TimePoint now);

    // The server refused a connection or command because its epoch is not the newest (FT004).
    HomeClaimAction onEpochSuperseded(uint64_t epoch, TimePoint now);

    // Passes time. Call it every 50 ms or less.
    HomeClaimAction tick(TimePoint now);

    HomeClaimState state() const { return this->currentState; }
    bool isHeld() const { return this->currentState == HomeClaimState::Held; }

    // The epoch that is claimed or held.
    uint64_t epoch() const { return this->claimedEpoch; }

    // The last claim that the server reported, which names the home when it is another VM.
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
    // When the answer counts as lost, or the pause ends.
    TimePoint deadline;
    uint32_t consecutiveLosses = 0;
    TimePoint acquiredAt;
};

}
