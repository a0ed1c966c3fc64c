package stonespring.decision;

/**
 * The estimates that several rules share.
 *
 * @param latency converts mean latencies to shares of late answers
 * @param cadence tells when scheduling rounds are due and how late reports are
 * @param traffic estimates the traffic of this instance's proxies
 * @param capacity estimates the capacity and load of endpoints
 */
record Estimates(
    LatencyModel latency,
    ReportCadence cadence,
    TrafficEstimator traffic,
    CapacityEstimator capacity) {}
