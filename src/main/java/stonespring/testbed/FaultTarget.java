package stonespring.testbed;

import java.util.List;

/**
 * A fault and what it affects.
 *
 * @param endpoints the drawn endpoints, out of those that run in the fault's zone
 * @param proxies the drawn proxies, out of those in the fault's zone
 * @param endMillis the end of the fault in {@link Timeline} milliseconds
 */
record FaultTarget(
    Scenario.Fault fault,
    List<EndpointStandIn> endpoints,
    List<ScenarioProxy> proxies,
    double endMillis) {}
