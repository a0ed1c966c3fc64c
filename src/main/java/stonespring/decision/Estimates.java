package stonespring.decision;

/**
 * The estimates that all rules share: when reports come, and what they say of traffic and capacity.
 */
record Estimates(
    LatencyModel latency,
    ReportCadence cadence,
    TrafficEstimator traffic,
    CapacityEstimator capacity) {}
