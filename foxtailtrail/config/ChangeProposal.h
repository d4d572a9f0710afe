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
// Writes the row if its version in the store is still the expected one; version 0 means that the row must not exist.
struct CompareAndSetRow {
    uint64_t expectedStoreVersion = 0;
    ConfigurationRow row;
};
using StoreRequest = std::variant<ReadRow, ReadObject, WriteObject, CompareAndSetRow>;

// A request to the store. The response carries the same call id.
struct StoreCall {
    uint64_t callId = 0;
    StoreRequest request;
};

// Sends the document to these VMs and queries their version.
struct DistributeVersion {
    ConfigurationDocument document;
    std::vector<VmAddress> witnesses;
};

// An effect that the owner of a proposal must carry out.
using ProposalEffect = std::variant<StoreCall, DistributeVersion>;

// Responses of the store.
struct RowResponse {
    // Empty if the row does not exist.
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
    // False only if the request certainly had no effect, for example because no connection could be made.
    bool mayHaveTakenEffect = true;
};
struct StoreResponse {
    uint64_t callId = 0;
    std::variant<RowResponse, ObjectResponse, ObjectWritten, RowWritten, RowVersionConflict, StoreFailed> payload;
};

enum class ProposalDecision : uint8_t {
    // A majority of the witnesses, and a majority of the previous witnesses if there are any, have acknowledged the version.
    Accepted,
    // The version is stored and reaches every VM that can read the store, but the majorities did not acknowledge it in time.
    StoredNotConfirmed,
    // The change was not stored and will not be.
    Refused,
    // It is not known whether the change was stored.
    Unknown,
};

// Returns the text of the decision for operators and logs.
std::string_view proposalDecisionName(ProposalDecision);

struct ProposalOutcome {
    ProposalDecision decision = ProposalDecision::Unknown;
    // The stored version, or 0.
    uint64_t version = 0;
    // The reason of Refused and Unknown. The detail of VersionConflict contains the winning version and its author, if known.
    Error error;
};

struct ChangeProposalSettings {
    // A store call without a response within this time counts as failed.
    Duration callTimeout = std::chrono::milliseconds(500);
    // The delay before a failed step is retried, and the interval at which the version is distributed again.
    Duration retryInterval = std::chrono::milliseconds(200);
    // Bounds the time for the majorities to acknowledge a stored version. VMs check for a new version every second.
    Duration acknowledgementTimeout = std::chrono::seconds(5);
};

// State machine that puts one configuration change into force: it reads the row and its object, applies the change, writes the new
// object, writes the row with a compare-and-set, and collects acknowledgements of the witnesses. If the reply to the compare-and-set is
// lost, it reads the row back and looks for the id of the change.
class ChangeProposal {
public:
    // The change must be stored by the deadline.
    ChangeProposal(ChangeProposalSettings, ConfigurationChange, TimePoint deadline);

    // Each of these returns the next effects. Once the outcome is known, they return an empty list.
    std::vector<ProposalEffect> start(TimePoint now);
    std::vector<ProposalEffect> handleStoreResponse(const StoreResponse&, TimePoint now);
    std::vector<ProposalEffect> handleWitnessReport(const VmId&, const std::optional<VersionReport>&, TimePoint now);
    std::vector<ProposalEffect> tick(TimePoint now);

    // Returns when tick is due next. Has no meaning once the outcome is known.
    TimePoint nextTickAt() const;

    // Returns the outcome, or std::nullopt while the proposal is in progress.
    const std::optional<ProposalOutcome>& outcome() const { return this->result; }

    const std::string& changeId() const { return this->change.changeId; }

    // Returns the new document once it is stored, else null.
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
    // The id of the last call. Responses to earlier calls are ignored.
    uint64_t lastCallId = 0;
    bool awaitingResponse = false;
    // The timeout of the pending call, or the time of the next attempt.
    TimePoint stepDeadline;
    ConfigurationRow baseRow;
    uint64_t baseStoreVersion = 0;
    ConfigurationDocument nextDocument;
    ConfigurationRow nextRow;
    // True after a compare-and-set with an unknown effect. It may still arrive at the store.
    bool rowWriteUncertain = false;
    std::set<VmId> acknowledgedBy;
    std::optional<ProposalOutcome> result;
};

}
