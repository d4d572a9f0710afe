#include "foxtailtrail/config/RouteTable.h"

namespace foxtail {

const DatabaseRoute* RouteTable::findRoute(std::string_view database) const
{
    const auto found = this->routes.find(database);
    return found == this->routes.end() ? nullptr : &found->second;
}

const OrganisationLimit* RouteTable::findOrganisation(std::string_view keyDigest) const
{
    const auto found = this->organisationIndexByKeyDigest.find(keyDigest);
    return found == this->organisationIndexByKeyDigest.end() ? nullptr : &this->organisations[found->second];
}

}
