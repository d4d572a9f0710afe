#include "foxtailtrail/replication/EvacuationTable.h"

#include <algorithm>
#include <utility>

namespace foxtail {

bool EvacuationTable::replace(const std::vector<DataCentre>& dataCentres, TimePoint now)
{
    std::map<DataCentre, TimePoint> replacement;
    for (const DataCentre& dataCentre : dataCentres) {
        const auto known = this->evacuations.find(dataCentre);
        replacement.emplace(dataCentre, known == this->evacuations.end() ? now + this->settlingPeriod : known->second);
    }
    const bool hasChanged = replacement != this->evacuations;
    this->evacuations = std::move(replacement);
    return hasChanged;
}

void EvacuationTable::applyList(const std::vector<EvacuationRow>& rows, const StoreVersion& listedAsOf, TimePoint now)
{
    if (listedAsOf < this->asOf)
        return;
    std::vector<DataCentre> listed;
    StoreVersion newestRow;
    for (const EvacuationRow& row : rows) {
        if (row.isRemoved)
            continue;
        listed.push_back(row.dataCentre);
        newestRow = std::max(newestRow, row.version);
    }
    const bool hasRemoved = std::any_of(this->evacuations.begin(), this->evacuations.end(),
        [&](const auto& known) { return std::find(listed.begin(), listed.end(), known.first) == listed.end(); });
    // The list does not tell when a row was removed.
    if (this->replace(listed, now))
        this->lastChange = hasRemoved ? listedAsOf : newestRow;
    this->asOf = listedAsOf;
}

void EvacuationTable::applyChanges(const std::vector<EvacuationRow>& rows, const StoreVersion& changedAsOf, TimePoint now)
{
    for (const EvacuationRow& row : rows) {
        if (row.version <= this->asOf)
            continue;
        const bool hasChanged = row.isRemoved ? this->evacuations.erase(row.dataCentre) > 0
                                              : this->evacuations.emplace(row.dataCentre, now + this->settlingPeriod).second;
        if (hasChanged)
            this->lastChange = std::max(this->lastChange, row.version);
    }
    this->asOf = std::max(this->asOf, changedAsOf);
}

bool EvacuationTable::applyState(const EvacuationState& state, TimePoint now)
{
    if (state.asOf <= this->asOf)
        return false;
    if (this->replace(state.dataCentres, now))
        this->lastChange = state.asOf;
    this->asOf = state.asOf;
    return true;
}

bool EvacuationTable::isInForce(const DataCentre& dataCentre, TimePoint now) const
{
    const auto found = this->evacuations.find(dataCentre);
    return found != this->evacuations.end() && found->second <= now;
}

EvacuationState EvacuationTable::state() const
{
    EvacuationState state { this->asOf, {} };
    for (const auto& [dataCentre, inForceFrom] : this->evacuations)
        state.dataCentres.push_back(dataCentre);
    return state;
}

}
