package stonespring.testbed;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Draws the endpoints and proxies that each fault of a scenario affects, and injects the fault.
 * Used from the scenario's thread only.
 */
final class FaultInjector {
  private static final Logger LOG = LoggerFactory.getLogger(FaultInjector.class);

  private final ScenarioFleet fleet;
  private final Timeline timeline;
  private final Map<FaultKind, FaultInjection> injections = new EnumMap<>(FaultKind.class);

  FaultInjector(ScenarioFleet fleet, Timeline timeline) {
    this.fleet = fleet;
    this.timeline = timeline;
    new EndpointFaults(fleet, timeline).register(injections);
    new DeploymentFaults(fleet, timeline).register(injections);
    new ProxyFaults(fleet, timeline).register(injections);
    new InfrastructureFaults(fleet, timeline).register(injections);
    for (FaultKind kind : FaultKind.values()) {
      if (!injections.containsKey(kind)) {
        throw new IllegalStateException(
            "no injection is registered for fault kind " + kind.scriptName());
      }
    }
  }

  /** Starts a fault now; the timeline ends it. */
  void inject(Scenario.Fault fault) throws Exception {
    LOG.info(
        "{} s after the start of the scenario: injecting fault {}",
        Math.round(timeline.now() / 100) / 10.0,
        fault);
    double end = timeline.now() + fault.durationMillis();
    // Both are drawn whatever the kind: later draws must not depend on the kinds of earlier faults.
    List<EndpointStandIn> endpoints =
        fleet.sample(fleet.runningEndpoints(fault.zone()), fault.fraction());
    List<ScenarioProxy> proxies = fleet.sample(fleet.proxies(fault.zone()), fault.fraction());
    injections.get(fault.kind()).inject(new FaultTarget(fault, endpoints, proxies, end));
  }
}
