#include "foxtailtrail/config/ConfigurationFollower.h"

namespace foxtail {

Result<OfferOutcome> ConfigurationFollower::offer(Configuration offered)
{
    if (offered.version < this->version())
        return OfferOutcome::Older;
    std::string offeredDigest = configurationDigest(offered);
    if (this->installed && offered.version == this->version()) {
        if (offeredDigest == this->installedDigest)
            return OfferOutcome::AlreadyInstalled;
        return fail(ErrorKind::VersionConflict, "version " + std::to_string(offered.version) + " is installed with other content");
    }
    this->installedDigest = std::move(offeredDigest);
    this->installed = std::make_shared<const Configuration>(std::move(offered));
    return OfferOutcome::Installed;
}

Result<OfferOutcome> ConfigurationFollower::offerText(std::string_view text, std::string_view expectedDigest)
{
    BOOST_OUTCOME_TRY(Configuration parsed, parseConfiguration(text));
    if (!expectedDigest.empty() && configurationDigest(parsed) != expectedDigest)
        return fail(ErrorKind::VersionConflict, "the document does not have the announced digest");
    return this->offer(std::move(parsed));
}

}
