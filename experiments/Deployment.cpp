#include "experiments/Deployment.h"

namespace foxtail {

namespace {

    // Creates one organisation per rate. The design page sets eight organisations, a few of them large, but no rates.
    std::vector<Organisation> organisations(const std::vector<double>& rates, double burstSeconds)
    {
        std::vector<Organisation> all;
        for (const double rate : rates) {
            const std::string name = "organisation-" + std::to_string(all.size() + 1);
            all.push_back({ OrganisationId(name), rate, rate * burstSeconds });
        }
        return all;
    }

}

Deployment wattle()
{
    Deployment deployment;
    deployment.name = "wattle";
    deployment.mainRegion = Region("seq");
    deployment.otherRegion = Region("fnq");
    deployment.dataCentres = { DataCentre("brisbane"), DataCentre("toowoomba"), DataCentre("cairns") };
    deployment.latencyToClients = std::chrono::milliseconds(1);
    deployment.slots = 3;
    deployment.organisations = organisations({ 300, 150, 80, 40, 40, 20, 20, 10 }, 1);
    return deployment;
}

Deployment wislomar()
{
    Deployment deployment;
    deployment.name = "wislomar";
    deployment.mainRegion = Region("pl-central");
    deployment.otherRegion = Region("pl-south");
    deployment.dataCentres = { DataCentre("waw-a"), DataCentre("waw-b"), DataCentre("krk-a") };
    deployment.latencyToClients = std::chrono::milliseconds(3);
    deployment.slots = 2;
    deployment.organisations = organisations({ 600, 400, 100, 60, 40, 30, 20, 10 }, 0.5);
    return deployment;
}

}
