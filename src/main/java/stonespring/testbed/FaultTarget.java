package stonespring.testbed;

import java.util.List;

/**
 * A fault and what it strikes.
 *
 * @param endpoints those drawn from the running ones of the fault's zone
 * @param proxies those drawn from the proxies of the fault's zone
 * @param endMillis when the fault ends, on the timeline
 */
record FaultTarget(
    Scenario.Fault fault,
    List<EndpointStandIn> endpoints,
    List<ScenarioProxy> proxies,
    double endMillis) {}
