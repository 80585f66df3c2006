#include "coltsfootbend/gateway/traffic_share.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// Weight of a new report in the moving averages: with a dozen servers that report ten times a second they follow a
// change within a second.
constexpr double smoothingFactor = 0.01;
// Requests at a server, in addition to the reported ones, that are assumed to be shared evenly, so that few requests do
// not count as evidence.
constexpr double evenRequests = 1;
// An estimate above this part of the number of gateways is taken for an even share: it differs by chance.
constexpr double maxUnevenPart = 0.5;

} // namespace

void traffic_share::record(double own, double reported)
{
    const double all = std::max(own, reported);
    if (all <= 0)
        return; // An idle server says nothing about shares.
    m_own += smoothingFactor * (own - m_own);
    m_reported += smoothingFactor * (all - m_reported);
}

double traffic_share::equivalentGateways(double gateways) const
{
    const double estimate = (m_reported + evenRequests) / (m_own + evenRequests / gateways);
    return estimate > maxUnevenPart * gateways ? gateways : std::max(1.0, estimate);
}

} // namespace coltsfootbend
