package stonespring.decision;

/** What all rules reckon with: when reports come, and what they say of traffic and capacity. */
record Estimates(
    LatencyModel latency,
    ReportCadence cadence,
    TrafficEstimator traffic,
    CapacityEstimator capacity) {}
