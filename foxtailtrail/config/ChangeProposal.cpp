#include "foxtailtrail/config/ChangeProposal.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace foxtail {

namespace {

    std::string describe(const ChangeRecord& record)
    {
        return "version " + std::to_string(record.version) + " was made by " + record.author;
    }

}

std::string_view proposalDecisionName(ProposalDecision verdict)
{
    constexpr std::array<std::string_view, 4> names { "accepted", "stored, not confirmed", "refused", "unknown" };
    return names[static_cast<size_t>(verdict)];
}

ChangeProposal::ChangeProposal(ChangeProposalSettings settings, ConfigurationChange change, TimePoint deadline)
    : settings(settings)
    , change(std::move(change))
    , deadline(deadline)
{
}

std::vector<ProposalEffect> ChangeProposal::start(TimePoint now) { return this->startStage(Stage::ReadingRow, now); }

std::vector<ProposalEffect> ChangeProposal::handleStoreResponse(const StoreResponse& answer, TimePoint now)
{
    if (this->result || !this->awaitingResponse || answer.callId != this->lastCallId)
        return {};
    this->awaitingResponse = false;
    return std::visit([this, now](const auto& value) { return this->handle(value, now); }, answer.payload);
}

std::vector<ProposalEffect> ChangeProposal::handleWitnessReport(const VmId& vm, const std::optional<VersionReport>& report, TimePoint)
{
    if (this->result || this->stage != Stage::CollectingAcknowledgements || !report || report->version < this->nextDocument->version)
        return {};
    if (report->version == this->nextDocument->version && report->digest != this->nextRow.digest)
        return {};
    this->acknowledgedBy.insert(vm);
    if (this->hasMajority(this->nextDocument->witnesses) && this->hasMajority(this->nextDocument->previousWitnesses))
        return this->finish(ProposalDecision::Accepted, this->nextDocument->version);
    return {};
}

std::vector<ProposalEffect> ChangeProposal::tick(TimePoint now)
{
    if (this->result)
        return {};
    if (now >= this->deadline)
        return this->finishAtDeadline();
    if (now < this->stepDeadline)
        return {};
    if (this->stage == Stage::CollectingAcknowledgements)
        return this->distribute(now);
    if (!this->awaitingResponse)
        return this->startStage(this->stage, now);
    this->awaitingResponse = false;
    return this->handle(StoreFailed { true }, now);
}

TimePoint ChangeProposal::nextTickAt() const { return std::min(this->deadline, this->stepDeadline); }

ChangeProposal::Effects ChangeProposal::startStage(Stage nextStage, TimePoint now)
{
    this->stage = nextStage;
    this->awaitingResponse = true;
    this->stepDeadline = now + this->settings.callTimeout;
    return { StoreCall { ++this->lastCallId, this->request() } };
}

StoreRequest ChangeProposal::request() const
{
    switch (this->stage) {
    case Stage::ReadingObject:
        return ReadObject { configurationObjectName(this->baseRow.version(), this->baseRow.digest) };
    case Stage::WritingObject:
        return WriteObject { configurationObjectName(this->nextDocument->version, this->nextRow.digest),
            serializeConfiguration(*this->nextDocument) };
    case Stage::WritingRow:
        return CompareAndSetRow { this->baseStoreVersion, this->nextRow };
    case Stage::ReadingRow:
    case Stage::ReadingBack:
    case Stage::CollectingAcknowledgements:
        break;
    }
    return ReadRow {};
}

ChangeProposal::Effects ChangeProposal::handle(const RowResponse& answer, TimePoint now)
{
    return this->stage == Stage::ReadingBack ? this->handleReadBack(answer, now) : this->handleFirstRead(answer, now);
}

ChangeProposal::Effects ChangeProposal::handleFirstRead(const RowResponse& answer, TimePoint now)
{
    this->baseRow = answer.row.value_or(ConfigurationRow {});
    this->baseStoreVersion = answer.storeVersion;
    // The same change proposed again, after its first proposal ended without knowing the outcome.
    for (const ChangeRecord& record : this->baseRow.recentChanges) {
        if (record.changeId == this->change.changeId)
            return this->finish(ProposalDecision::StoredNotConfirmed, record.version);
    }
    if (!answer.row)
        return this->buildNextDocument(Configuration {}, now);
    return this->startStage(Stage::ReadingObject, now);
}

ChangeProposal::Effects ChangeProposal::handleReadBack(const RowResponse& answer, TimePoint now)
{
    const ConfigurationRow row = answer.row.value_or(ConfigurationRow {});
    // Nothing has been stored since the base: the compare-and-set is sent again. If the first one is still under way,
    // one of the two is refused and this read is repeated.
    if (row.version() < this->nextDocument->version && row.digest == this->baseRow.digest) {
        this->baseStoreVersion = answer.storeVersion;
        return this->startStage(Stage::WritingRow, now);
    }
    if (row.version() < this->nextDocument->version)
        return this->finish(ProposalDecision::Refused, 0, { ErrorKind::VersionConflict, "the stored row was replaced by another" });
    for (const ChangeRecord& record : row.recentChanges) {
        if (record.version != this->nextDocument->version)
            continue;
        if (record.changeId == this->change.changeId)
            return this->collectAcknowledgements(now);
        return this->finish(ProposalDecision::Refused, 0, { ErrorKind::VersionConflict, describe(record) });
    }
    return this->finish(ProposalDecision::Unknown, 0, { ErrorKind::StoreOutcomeUnknown, describe(row.recentChanges.front()) });
}

ChangeProposal::Effects ChangeProposal::handle(const ObjectResponse& answer, TimePoint now)
{
    const Result<Configuration> base = parseConfiguration(answer.text);
    if (base.has_error())
        return this->finish(ProposalDecision::Refused, 0, { ErrorKind::Internal, "the stored document: " + base.error().detail });
    if (configurationDigest(base.value()) != this->baseRow.digest)
        return this->finish(ProposalDecision::Refused, 0, { ErrorKind::Internal, "the stored document does not have the row's digest" });
    return this->buildNextDocument(base.value(), now);
}

ChangeProposal::Effects ChangeProposal::handle(const ObjectWritten&, TimePoint now) { return this->startStage(Stage::WritingRow, now); }

ChangeProposal::Effects ChangeProposal::handle(const RowWritten&, TimePoint now) { return this->collectAcknowledgements(now); }

ChangeProposal::Effects ChangeProposal::handle(const RowVersionConflict&, TimePoint now)
{
    return this->startStage(Stage::ReadingBack, now);
}

ChangeProposal::Effects ChangeProposal::handle(const StoreFailed& failure, TimePoint now)
{
    if (this->stage == Stage::WritingRow && failure.mayHaveTakenEffect) {
        this->rowWriteUncertain = true;
        this->stage = Stage::ReadingBack;
    }
    this->stepDeadline = now + this->settings.retryInterval;
    return {};
}

ChangeProposal::Effects ChangeProposal::buildNextDocument(const Configuration& base, TimePoint now)
{
    Result<Configuration> applied = applyChange(base, this->change);
    if (applied.has_error())
        return this->finish(ProposalDecision::Refused, 0, applied.error());
    this->nextDocument = std::make_shared<const Configuration>(std::move(applied.value()));
    this->nextRow = makeConfigurationRow(*this->nextDocument, this->baseRow);
    return this->startStage(Stage::WritingObject, now);
}

ChangeProposal::Effects ChangeProposal::collectAcknowledgements(TimePoint now)
{
    this->stage = Stage::CollectingAcknowledgements;
    this->deadline = now + this->settings.acknowledgementTimeout;
    // Without witnesses only the store confirms, so no VM serves an older version for longer than the freshness time.
    if (this->nextDocument->witnesses.empty() && this->nextDocument->previousWitnesses.empty()) {
        this->finish(ProposalDecision::Accepted, this->nextDocument->version);
        return { DistributeVersion { this->nextDocument, {} } };
    }
    return this->distribute(now);
}

ChangeProposal::Effects ChangeProposal::distribute(TimePoint now)
{
    this->stepDeadline = now + this->settings.retryInterval;
    std::vector<VmAddress> missing;
    for (const std::vector<VmAddress>* list : { &this->nextDocument->witnesses, &this->nextDocument->previousWitnesses }) {
        for (const VmAddress& witness : *list) {
            const bool listed = std::find(missing.begin(), missing.end(), witness) != missing.end();
            if (!listed && !this->acknowledgedBy.contains(witness.id))
                missing.push_back(witness);
        }
    }
    return { DistributeVersion { this->nextDocument, std::move(missing) } };
}

ChangeProposal::Effects ChangeProposal::finish(ProposalDecision verdict, uint64_t version, Error error)
{
    assert(!this->result);
    this->result = ProposalOutcome { verdict, version, std::move(error) };
    return {};
}

ChangeProposal::Effects ChangeProposal::finishAtDeadline()
{
    if (this->stage == Stage::CollectingAcknowledgements)
        return this->finish(ProposalDecision::StoredNotConfirmed, this->nextDocument->version);
    const bool swapOnItsWay = this->stage == Stage::WritingRow && this->awaitingResponse;
    if (this->rowWriteUncertain || swapOnItsWay)
        return this->finish(ProposalDecision::Unknown, 0, { ErrorKind::StoreOutcomeUnknown, "the store did not answer in time" });
    // A refused compare-and-set that was not read back in time: another change was first, and its author is not known.
    if (this->stage == Stage::ReadingBack)
        return this->finish(ProposalDecision::Refused, 0, { ErrorKind::VersionConflict, "another change was accepted first" });
    return this->finish(ProposalDecision::Refused, 0, { ErrorKind::StoreUnavailable, "the store did not answer in time" });
}

bool ChangeProposal::hasMajority(const std::vector<VmAddress>& witnesses) const
{
    const auto count = std::count_if(
        witnesses.begin(), witnesses.end(), [this](const VmAddress& witness) { return this->acknowledgedBy.contains(witness.id); });
    return witnesses.empty() || static_cast<size_t>(count) > witnesses.size() / 2;
}

}
