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

std::string_view proposalVerdictName(ProposalVerdict verdict)
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

std::vector<ProposalEffect> ChangeProposal::start(TimePoint now) { return this->issue(Stage::ReadingRow, now); }

std::vector<ProposalEffect> ChangeProposal::storeAnswered(const StoreAnswer& answer, TimePoint now)
{
    if (this->result || !this->awaitingAnswer || answer.call != this->call)
        return {};
    this->awaitingAnswer = false;
    return std::visit([this, now](const auto& value) { return this->handle(value, now); }, answer.answer);
}

std::vector<ProposalEffect> ChangeProposal::witnessReported(const VmId& vm, const std::optional<VersionReport>& report, TimePoint)
{
    if (this->result || this->stage != Stage::Collecting || !report || report->version < this->next->version)
        return {};
    if (report->version == this->next->version && report->digest != this->nextRow.digest)
        return {};
    this->acknowledged.insert(vm);
    if (this->hasMajority(this->next->witnesses) && this->hasMajority(this->next->previousWitnesses))
        return this->finish(ProposalVerdict::Accepted, this->next->version);
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
    if (this->stage == Stage::Collecting)
        return this->announce(now);
    if (!this->awaitingAnswer)
        return this->issue(this->stage, now);
    this->awaitingAnswer = false;
    return this->handle(StoreFailed { true }, now);
}

TimePoint ChangeProposal::nextTick() const { return std::min(this->deadline, this->stepDeadline); }

ChangeProposal::Effects ChangeProposal::issue(Stage nextStage, TimePoint now)
{
    this->stage = nextStage;
    this->awaitingAnswer = true;
    this->stepDeadline = now + this->settings.callTimeout;
    return { StoreCall { ++this->call, this->request() } };
}

StoreRequest ChangeProposal::request() const
{
    switch (this->stage) {
    case Stage::ReadingObject:
        return ReadObject { configurationObjectName(this->baseRow.version(), this->baseRow.digest) };
    case Stage::WritingObject:
        return WriteObject { configurationObjectName(this->next->version, this->nextRow.digest), serializeConfiguration(*this->next) };
    case Stage::Swapping:
        return SwapRow { this->baseStoreVersion, this->nextRow };
    case Stage::ReadingRow:
    case Stage::ReadingBack:
    case Stage::Collecting:
        break;
    }
    return ReadRow {};
}

ChangeProposal::Effects ChangeProposal::handle(const RowAnswer& answer, TimePoint now)
{
    return this->stage == Stage::ReadingBack ? this->handleReadBack(answer, now) : this->handleFirstRead(answer, now);
}

ChangeProposal::Effects ChangeProposal::handleFirstRead(const RowAnswer& answer, TimePoint now)
{
    this->baseRow = answer.row.value_or(ConfigurationRow {});
    this->baseStoreVersion = answer.storeVersion;
    // The same change proposed again, after its first proposal ended without knowing the outcome.
    for (const ChangeRecord& record : this->baseRow.recent) {
        if (record.changeId == this->change.changeId)
            return this->finish(ProposalVerdict::StoredNotConfirmed, record.version);
    }
    if (!answer.row)
        return this->compose(Configuration {}, now);
    return this->issue(Stage::ReadingObject, now);
}

ChangeProposal::Effects ChangeProposal::handleReadBack(const RowAnswer& answer, TimePoint now)
{
    const ConfigurationRow row = answer.row.value_or(ConfigurationRow {});
    // Nothing has been stored since the base: the compare-and-set is sent again. If the first one is still under way,
    // one of the two is refused and this read is repeated.
    if (row.version() < this->next->version && row.digest == this->baseRow.digest) {
        this->baseStoreVersion = answer.storeVersion;
        return this->issue(Stage::Swapping, now);
    }
    if (row.version() < this->next->version)
        return this->finish(ProposalVerdict::Refused, 0, { ErrorKind::VersionConflict, "the stored row was replaced by another" });
    for (const ChangeRecord& record : row.recent) {
        if (record.version != this->next->version)
            continue;
        if (record.changeId == this->change.changeId)
            return this->collect(now);
        return this->finish(ProposalVerdict::Refused, 0, { ErrorKind::VersionConflict, describe(record) });
    }
    return this->finish(ProposalVerdict::Unknown, 0, { ErrorKind::StoreOutcomeUnknown, describe(row.recent.front()) });
}

ChangeProposal::Effects ChangeProposal::handle(const ObjectAnswer& answer, TimePoint now)
{
    const Result<Configuration> base = parseConfiguration(answer.text);
    if (base.has_error())
        return this->finish(ProposalVerdict::Refused, 0, { ErrorKind::Internal, "the stored document: " + base.error().detail });
    if (configurationDigest(base.value()) != this->baseRow.digest)
        return this->finish(ProposalVerdict::Refused, 0, { ErrorKind::Internal, "the stored document does not have the row's digest" });
    return this->compose(base.value(), now);
}

ChangeProposal::Effects ChangeProposal::handle(const ObjectWritten&, TimePoint now) { return this->issue(Stage::Swapping, now); }

ChangeProposal::Effects ChangeProposal::handle(const RowSwapped&, TimePoint now) { return this->collect(now); }

ChangeProposal::Effects ChangeProposal::handle(const SwapRefused&, TimePoint now) { return this->issue(Stage::ReadingBack, now); }

ChangeProposal::Effects ChangeProposal::handle(const StoreFailed& failure, TimePoint now)
{
    if (this->stage == Stage::Swapping && failure.effectPossible) {
        this->swapUncertain = true;
        this->stage = Stage::ReadingBack;
    }
    this->stepDeadline = now + this->settings.retryInterval;
    return {};
}

ChangeProposal::Effects ChangeProposal::compose(const Configuration& base, TimePoint now)
{
    Result<Configuration> applied = applyChange(base, this->change);
    if (applied.has_error())
        return this->finish(ProposalVerdict::Refused, 0, applied.error());
    this->next = std::make_shared<const Configuration>(std::move(applied.value()));
    this->nextRow = rowFor(*this->next, this->baseRow);
    return this->issue(Stage::WritingObject, now);
}

ChangeProposal::Effects ChangeProposal::collect(TimePoint now)
{
    this->stage = Stage::Collecting;
    this->deadline = now + this->settings.acknowledgementTime;
    // Without witnesses only the store confirms, so no VM serves an older version for longer than the freshness time.
    if (this->next->witnesses.empty() && this->next->previousWitnesses.empty()) {
        this->finish(ProposalVerdict::Accepted, this->next->version);
        return { AnnounceVersion { this->next, {} } };
    }
    return this->announce(now);
}

ChangeProposal::Effects ChangeProposal::announce(TimePoint now)
{
    this->stepDeadline = now + this->settings.retryInterval;
    std::vector<VmAddress> missing;
    for (const std::vector<VmAddress>* list : { &this->next->witnesses, &this->next->previousWitnesses }) {
        for (const VmAddress& witness : *list) {
            const bool listed = std::find(missing.begin(), missing.end(), witness) != missing.end();
            if (!listed && !this->acknowledged.contains(witness.id))
                missing.push_back(witness);
        }
    }
    return { AnnounceVersion { this->next, std::move(missing) } };
}

ChangeProposal::Effects ChangeProposal::finish(ProposalVerdict verdict, uint64_t version, Error error)
{
    assert(!this->result);
    this->result = ProposalOutcome { verdict, version, std::move(error) };
    return {};
}

ChangeProposal::Effects ChangeProposal::finishAtDeadline()
{
    if (this->stage == Stage::Collecting)
        return this->finish(ProposalVerdict::StoredNotConfirmed, this->next->version);
    const bool swapOnItsWay = this->stage == Stage::Swapping && this->awaitingAnswer;
    if (this->swapUncertain || swapOnItsWay)
        return this->finish(ProposalVerdict::Unknown, 0, { ErrorKind::StoreOutcomeUnknown, "the store did not answer in time" });
    // A refused compare-and-set that was not read back in time: another change was first, and its author is not known.
    if (this->stage == Stage::ReadingBack)
        return this->finish(ProposalVerdict::Refused, 0, { ErrorKind::VersionConflict, "another change was accepted first" });
    return this->finish(ProposalVerdict::Refused, 0, { ErrorKind::StoreUnavailable, "the store did not answer in time" });
}

bool ChangeProposal::hasMajority(const std::vector<VmAddress>& witnesses) const
{
    const auto count = std::count_if(
        witnesses.begin(), witnesses.end(), [this](const VmAddress& witness) { return this->acknowledged.contains(witness.id); });
    return witnesses.empty() || static_cast<size_t>(count) > witnesses.size() / 2;
}

}
