#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <map>
#include <optional>
#include <set>

namespace foxtail {

// What one VM knows about a group from its own traffic and from other VMs. Its times are on the clock of the VM that asked. Where the time
// of the reply leaves a range, each is the bound that makes the evidence weaker.
struct GroupReport {
    VmId vm;
    // When the report was received.
    TimePoint receivedAt {};
    // From when on the VM remembers the commits that it has acknowledged to callers.
    TimePoint remembersFrom {};
    // When the primary was last known to lead, by whatever proof.
    std::optional<TimePoint> primaryLedAt;
    // When the VM sent the newest commit that was acknowledged to it.
    std::optional<TimePoint> commitSentAt;
    // A position that the primary held while it led, which contains every commit acknowledged before the time of the sample.
    std::optional<LogPoint> sampledLogPoint;
    std::optional<TimePoint> sampledAt;
    // The highest position that the VM knows to contain an acknowledged commit.
    std::optional<LogPoint> acknowledged;
    // Whether the VM has no commit without a reply at the primary, and sends none until the promise has ended.
    bool holdsBackCommits = false;
};

// What the VMs of the fleet know about the commits of a group. Callers hear of a commit through a VM, so a server that holds every position
// that the VMs know to be acknowledged lacks no acknowledged commit, whichever servers do not answer. That needs the reports of all VMs
// that may have acknowledged one.
class FleetEvidence {
public:
    // A report counts for this long. The VM holds commits back for longer.
    static constexpr Duration reportLifetime = std::chrono::milliseconds(1000);
    static constexpr Duration holdBackPeriod = std::chrono::milliseconds(2000);

    // Sets the VMs that may have acknowledged commits of the group: this one and every other VM of the fleet.
    void expectReportsOf(std::set<VmId>);
    // Adds a report. It replaces an earlier one of the VM, whose positions and times of commits stay true: a VM drops its samples when it
    // learns of the decision to replace the primary.
    void record(const GroupReport&);

    // Returns true when a commit that was sent after the given time has been acknowledged to a VM, so that a primary leads and a replica
    // receives from it.
    bool hasCommitAfter(TimePoint) const;
    // Returns the latest time at which a VM knew the primary to lead, or std::nullopt.
    std::optional<TimePoint> primaryLedAt() const;
    // Returns the highest position that a VM knows to contain an acknowledged commit, or std::nullopt.
    std::optional<LogPoint> highestAcknowledged() const;
    // Returns true when no VM has acknowledged, or can acknowledge, a commit beyond highestPossible(): every expected VM has reported and
    // holds commits back, and a position was sampled since the last of them started, which contains what their former processes
    // acknowledged.
    bool isEveryCommitKnown(TimePoint now) const;
    // Returns the highest position that may contain an acknowledged commit while isEveryCommitKnown() is true. The start point is the log
    // with which the last known primary took over: samples of earlier primaries hold no acknowledged commit beyond it.
    std::optional<LogPoint> highestPossible(const std::optional<LogPoint>& startPoint) const;
    // Returns true when another VM has reported, or when there is none.
    bool hasAnswer(const VmId& self) const;

    const std::set<VmId>& expectedVms() const { return this->expected; }
    const std::map<VmId, GroupReport>& reportsByVm() const { return this->reports; }

private:
    std::optional<TimePoint> newestSampleAt() const;

    std::set<VmId> expected;
    std::map<VmId, GroupReport> reports;
};

}
