#pragma once

// Estimates which share of the requests at a deployment's servers this gateway sends, from the servers' reports and its
// own requests there. The platform does not distribute connections evenly: one gateway may receive most of a region.
// Deterministic. Does not count gateways: see `gateway/gateway_estimate.h`.
//
//     traffic_share share;
//     share.record(ownRequests, reportedRequests); // For each report of a server.
//     const double rateOfAll = ownRate * share.equivalentGateways(gateways);

namespace coltsfootbend {

// A moving average of this gateway's requests and of all reported requests at a server.
class traffic_share {
public:
    // Records a report that states `reported` requests at a server, `own` of them sent by this gateway. O(1).
    void record(double own, double reported);

    // Returns how many gateways that send as much as this one would send all requests: 1 if this one sends all of them.
    // Returns `gateways`, the number of those that share the servers, unless the reports clearly contradict an even
    // share. O(1).
    double equivalentGateways(double gateways) const;

private:
    double m_own = 0;
    double m_reported = 0;
};

} // namespace coltsfootbend
