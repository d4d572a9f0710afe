#include "foxtailtrail/config/ConfigurationFollower.h"

namespace foxtail {

Result<OfferOutcome> ConfigurationFollower::offer(Configuration offered)
{
    this->installedDigest = configurationDigest(offered);
    this->installed = std::make_shared<const Configuration>(std::move(offered));
    return OfferOutcome::Installed;
}

Result<OfferOutcome> ConfigurationFollower::offerText(std::string_view text, std::string_view)
{
    BOOST_OUTCOME_TRY(Configuration parsed, parseConfiguration(text));
    return this->offer(std::move(parsed));
}

}
