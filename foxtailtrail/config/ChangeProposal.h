#pragma once

#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/config/ConfigurationChange.h"
#include "foxtailtrail/config/ConfigurationRow.h"
#include "foxtailtrail/config/FreshnessMonitor.h"
#include "foxtailtrail/config/InstalledConfiguration.h"

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace foxtail {

// Requests to the store.
struct ReadRow { };
struct ReadObject {
    std::string name;
};
struct WriteObject {
    std::string name;
    std::string text;
};
// Puts the row if the store's version of it is still the expected one (0: absent).
struct CompareAndSetRow {
    uint64_t expectedStoreVersion = 0;
    ConfigurationRow row;
};
using StoreRequest = std::variant<ReadRow, ReadObject, WriteObject, CompareAndSetRow>;

// A request to the store. Its answer carries the same call number.
struct StoreCall {
    uint64_t callId = 0;
    StoreRequest request;
};

// Push the document to these VMs and ask them for their version.
struct DistributeVersion {
    ConfigurationDocument document;
    std::vector<VmAddress> witnesses;
};

// What the shell has to do for a proposal.
using ProposalEffect = std::variant<StoreCall, DistributeVersion>;

// Answers of the store.
struct RowResponse {
    // Nothing when the row is absent.
    std::optional<ConfigurationRow> row;
    uint64_t storeVersion = 0;
};
struct ObjectResponse {
    std::string text;
};
struct ObjectWritten { };
struct RowWritten { };
// The row no longer has the expected version.
struct RowVersionConflict { };
struct StoreFailed {
    // True unless it is certain that the request had no effect, such as when no connection could be made.
    bool mayHaveTakenEffect = true;
};
struct StoreResponse {
    uint64_t callId = 0;
    std::variant<RowResponse, ObjectResponse, ObjectWritten, RowWritten, RowVersionConflict, StoreFailed> payload;
};

enum class ProposalDecision : uint8_t {
    // Majorities of all witness lists that count have the version in force.
    Accepted,
    // The version is stored and reaches every VM that can read the store, but the majorities did not answer in time.
    StoredNotConfirmed,
    // The change was not stored and never will be.
    Refused,
    // It can't be told whether the change was stored.
    Unknown,
};

// The verdict as operators and logs read it.
std::string_view proposalDecisionName(ProposalDecision);

struct ProposalOutcome {
    ProposalDecision decision = ProposalDecision::Unknown;
    // The stored version, or 0.
    uint64_t version = 0;
    // For Refused and Unknown: the reason. VersionConflict names the winning version and its author.
    Error error;
};

struct ChangeProposalSettings {
    // A call to the store that is not answered in this time counts as failed.
    Duration callTimeout = std::chrono::milliseconds(500);
    // The wait before a failed step is tried again, and between announcements.
    Duration retryInterval = std::chrono::milliseconds(200);
    // The time for the majorities to acknowledge a stored version. VMs check for a new version every second.
    Duration acknowledgementTimeout = std::chrono::seconds(5);
};

// Brings one change into force: read the row and its object, apply, write the new object, compare-and-set the row,
// then collect acknowledgements. A lost reply is resolved by reading the row back for the change's id.
class ChangeProposal {
public:
    // The deadline bounds the time until the change is stored.
    ChangeProposal(ChangeProposalSettings, ConfigurationChange, TimePoint deadline);

    // Each of these returns what to do next. After the outcome is there they return nothing.
    std::vector<ProposalEffect> start(TimePoint now);
    std::vector<ProposalEffect> handleStoreResponse(const StoreResponse&, TimePoint now);
    std::vector<ProposalEffect> handleWitnessReport(const VmId&, const std::optional<VersionReport>&, TimePoint now);
    std::vector<ProposalEffect> tick(TimePoint now);

    // When tick is due next. Meaningless once the outcome is there.
    TimePoint nextTickAt() const;

    // The outcome, or nothing while the proposal runs.
    const std::optional<ProposalOutcome>& outcome() const { return this->result; }

    const std::string& changeId() const { return this->change.changeId; }

    // The new document once it is stored, else null.
    ConfigurationDocument storedDocument() const { return this->stage == Stage::CollectingAcknowledgements ? this->nextDocument : nullptr; }

private:
    enum class Stage : uint8_t {
        ReadingRow,
        ReadingObject,
        WritingObject,
        WritingRow,
        ReadingBack,
        CollectingAcknowledgements,
    };
    using Effects = std::vector<ProposalEffect>;

    Effects startStage(Stage, TimePoint now);
    StoreRequest request() const;
    Effects handle(const RowResponse&, TimePoint now);
    Effects handle(const ObjectResponse&, TimePoint now);
    Effects handle(const ObjectWritten&, TimePoint now);
    Effects handle(const RowWritten&, TimePoint now);
    Effects handle(const RowVersionConflict&, TimePoint now);
    Effects handle(const StoreFailed&, TimePoint now);
    Effects handleFirstRead(const RowResponse&, TimePoint now);
    Effects handleReadBack(const RowResponse&, TimePoint now);
    Effects buildNextDocument(const Configuration& base, TimePoint now);
    Effects collectAcknowledgements(TimePoint now);
    Effects distribute(TimePoint now);
    Effects finish(ProposalDecision, uint64_t version, Error error = {});
    Effects finishAtDeadline();
    bool hasMajority(const std::vector<VmAddress>&) const;

    ChangeProposalSettings settings;
    ConfigurationChange change;
    TimePoint deadline;
    Stage stage = Stage::ReadingRow;
    // The number of the newest call. Answers to earlier ones are ignored.
    uint64_t lastCallId = 0;
    bool awaitingResponse = false;
    // The end of the awaited call's time, or the moment of the next try.
    TimePoint stepDeadline;
    ConfigurationRow baseRow;
    uint64_t baseStoreVersion = 0;
    ConfigurationDocument nextDocument;
    ConfigurationRow nextRow;
    // A compare-and-set was sent whose effect is not known. It may still arrive at the store.
    bool rowWriteUncertain = false;
    std::set<VmId> acknowledgedBy;
    std::optional<ProposalOutcome> result;
};

}
