#include "foxtailtrail/config/ChangeProposal.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace foxtail {

namespace {

    std::string describeAuthor(const ChangeRecord& record)
    {
        return "version " + std::to_string(record.version) + " was made by " + record.author;
    }

}

std::string_view proposalDecisionName(ProposalDecision decision)
{
    constexpr std::array<std::string_view, 4> names { "accepted", "stored, not confirmed", "refused", "unknown" };
    return names[static_cast<size_t>(decision)];
}

ChangeProposal::ChangeProposal(ChangeProposalSettings settings, ConfigurationChange change, TimePoint deadline)
    : settings(settings)
    , change(std::move(change))
    , deadline(deadline)
{
}

std::vector<ProposalEffect> ChangeProposal::start(TimePoint now) { return this->startStage(Stage::ReadingRow, now); }

std::vector<ProposalEffect> ChangeProposal::handleStoreResponse(const StoreResponse& response, TimePoint now)
{
    if (this->result || !this->awaitingResponse || response.callId != this->lastCallId)
        return {};
    this->awaitingResponse = false;
    return std::visit([this, now](const auto& value) { return this->handle(value, now); }, response.payload);
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

ChangeProposal::Effects ChangeProposal::handle(const RowResponse& response, TimePoint now)
{
    return this->stage == Stage::ReadingBack ? this->handleReadBack(response, now) : this->handleFirstRead(response, now);
}

ChangeProposal::Effects ChangeProposal::handleFirstRead(const RowResponse& response, TimePoint now)
{
    this->baseRow = response.row.value_or(ConfigurationRow {});
    this->baseStoreVersion = response.storeVersion;
    // The change was stored by an earlier proposal, whose outcome its operator may not have received.
    for (const ChangeRecord& record : this->baseRow.recentChanges) {
        if (record.changeId == this->change.changeId)
            return this->finish(ProposalDecision::StoredNotConfirmed, record.version);
    }
    if (!response.row)
        return this->buildNextDocument(Configuration {}, now);
    return this->startStage(Stage::ReadingObject, now);
}

ChangeProposal::Effects ChangeProposal::handleReadBack(const RowResponse& response, TimePoint now)
{
    const ConfigurationRow row = response.row.value_or(ConfigurationRow {});
    // The row is still the base row, so the compare-and-set is sent again. If the first one is still in flight, the store refuses one
    // of the two, and the row is read back again.
    if (row.version() < this->nextDocument->version && row.digest == this->baseRow.digest) {
        this->baseStoreVersion = response.storeVersion;
        return this->startStage(Stage::WritingRow, now);
    }
    if (row.version() < this->nextDocument->version)
        return this->finish(ProposalDecision::Refused, 0, { ErrorKind::VersionConflict, "the stored row was replaced by a different one" });
    for (const ChangeRecord& record : row.recentChanges) {
        if (record.version != this->nextDocument->version)
            continue;
        if (record.changeId == this->change.changeId)
            return this->collectAcknowledgements(now);
        return this->finish(ProposalDecision::Refused, 0, { ErrorKind::VersionConflict, describeAuthor(record) });
    }
    return this->finish(ProposalDecision::Unknown, 0, { ErrorKind::StoreOutcomeUnknown, describeAuthor(row.recentChanges.front()) });
}

ChangeProposal::Effects ChangeProposal::handle(const ObjectResponse& response, TimePoint now)
{
    const Result<Configuration> base = parseConfiguration(response.text);
    if (base.has_error())
        return this->finish(
            ProposalDecision::Refused, 0, { ErrorKind::Internal, "cannot parse the stored document: " + base.error().detail });
    if (configurationDigest(base.value()) != this->baseRow.digest)
        return this->finish(
            ProposalDecision::Refused, 0, { ErrorKind::Internal, "the digest of the stored document differs from the row's digest" });
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
    // Without witnesses only the store confirms versions, so no VM serves an older version for longer than the freshness lifetime.
    if (this->nextDocument->witnesses.empty() && this->nextDocument->previousWitnesses.empty()) {
        this->finish(ProposalDecision::Accepted, this->nextDocument->version);
        return { DistributeVersion { this->nextDocument, {} } };
    }
    return this->distribute(now);
}

ChangeProposal::Effects ChangeProposal::distribute(TimePoint now)
{
    this->stepDeadline = now + this->settings.retryInterval;
    std::vector<VmAddress> unacknowledged;
    for (const std::vector<VmAddress>* witnessList : { &this->nextDocument->witnesses, &this->nextDocument->previousWitnesses }) {
        for (const VmAddress& witness : *witnessList) {
            const bool isListed = std::find(unacknowledged.begin(), unacknowledged.end(), witness) != unacknowledged.end();
            if (!isListed && !this->acknowledgedBy.contains(witness.id))
                unacknowledged.push_back(witness);
        }
    }
    return { DistributeVersion { this->nextDocument, std::move(unacknowledged) } };
}

ChangeProposal::Effects ChangeProposal::finish(ProposalDecision decision, uint64_t version, Error error)
{
    assert(!this->result);
    this->result = ProposalOutcome { decision, version, std::move(error) };
    return {};
}

ChangeProposal::Effects ChangeProposal::finishAtDeadline()
{
    if (this->stage == Stage::CollectingAcknowledgements)
        return this->finish(ProposalDecision::StoredNotConfirmed, this->nextDocument->version);
    const bool isRowWriteInFlight = this->stage == Stage::WritingRow && this->awaitingResponse;
    if (this->rowWriteUncertain || isRowWriteInFlight)
        return this->finish(ProposalDecision::Unknown, 0, { ErrorKind::StoreOutcomeUnknown, "the store did not respond in time" });
    // The compare-and-set was refused, but the row was not read back in time: another change was stored first, and its author is unknown.
    if (this->stage == Stage::ReadingBack)
        return this->finish(ProposalDecision::Refused, 0, { ErrorKind::VersionConflict, "another change was stored first" });
    return this->finish(ProposalDecision::Refused, 0, { ErrorKind::StoreUnavailable, "the store did not respond in time" });
}

bool ChangeProposal::hasMajority(const std::vector<VmAddress>& witnesses) const
{
    const auto count = std::count_if(
        witnesses.begin(), witnesses.end(), [this](const VmAddress& witness) { return this->acknowledgedBy.contains(witness.id); });
    return witnesses.empty() || static_cast<size_t>(count) > witnesses.size() / 2;
}

}
