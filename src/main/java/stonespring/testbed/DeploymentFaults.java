package stonespring.testbed;

import java.util.List;
import java.util.Map;

/**
 * Planned changes of the set of endpoints: rolling restarts, removal and growth. Used from the
 * scenario's thread only.
 */
final class DeploymentFaults {
  /** The time from the end of an endpoint's process to its next start, in a rolling restart. */
  private static final double RESTART_DELAY_MILLIS = 500;

  private final ScenarioFleet fleet;
  private final Timeline timeline;

  DeploymentFaults(ScenarioFleet fleet, Timeline timeline) {
    this.fleet = fleet;
    this.timeline = timeline;
  }

  void register(Map<FaultKind, FaultInjection> injections) {
    injections.put(FaultKind.DEPLOY, this::deploy);
    injections.put(FaultKind.TAKEN_IN_WAVES, this::restartInWaves);
    injections.put(FaultKind.SHRINK, this::shrink);
    injections.put(FaultKind.GROWTH, this::grow);
  }

  /**
   * Drains and restarts the drawn endpoints in batches that are spread evenly over the fault's
   * duration. The magnitude is the batch size as a fraction of all endpoints; the interval is the
   * time from when the registry lists an endpoint as draining until its process is killed.
   */
  private void deploy(FaultTarget target) {
    Scenario.Fault fault = target.fault();
    List<EndpointStandIn> endpoints = target.endpoints();
    int batchSize = (int) Math.max(1, Math.round(fault.magnitude() * fleet.endpointCount()));
    int batchCount = (endpoints.size() + batchSize - 1) / batchSize;
    for (int i = 0; i < endpoints.size(); i++) {
      EndpointStandIn endpoint = endpoints.get(i);
      double drainAtMillis =
          timeline.now() + fault.durationMillis() * (i / batchSize) / Math.max(1, batchCount);
      timeline.scheduleAt(drainAtMillis, () -> fleet.registry().register(endpoint, true));
      timeline.scheduleAt(
          drainAtMillis + fault.intervalMillis() + fleet.listDelayMillis(),
          () -> fleet.crashAndRestart(endpoint, timeline.now() + RESTART_DELAY_MILLIS));
    }
  }

  /**
   * Draws endpoints anew at each interval, drains them and kills them after a time given by the
   * magnitude, in milliseconds.
   */
  private void restartInWaves(FaultTarget target) {
    Scenario.Fault fault = target.fault();
    timeline.scheduleRepeatedly(
        fault,
        () ->
            fleet
                .sample(fleet.runningEndpoints(fault.zone()), fault.fraction())
                .forEach(endpoint -> drainThenRestart(endpoint, fault)));
  }

  private void drainThenRestart(EndpointStandIn endpoint, Scenario.Fault fault) {
    fleet.registry().register(endpoint, true);
    timeline.scheduleAt(
        timeline.now() + fault.magnitude(),
        () -> fleet.crashAndRestart(endpoint, timeline.now() + fault.intervalMillis()));
  }

  /** Drains the drawn endpoints and stops them for good at the end of the fault. */
  private void shrink(FaultTarget target) {
    for (EndpointStandIn endpoint : target.endpoints()) {
      fleet.registry().register(endpoint, true);
      timeline.scheduleAt(
          target.endMillis(),
          () -> {
            fleet.registry().deregister(endpoint);
            endpoint.crash();
          });
    }
  }

  /** Starts new endpoints in random zones at each interval; the magnitude is their number. */
  private void grow(FaultTarget target) {
    timeline.scheduleRepeatedly(
        target.fault(),
        () -> {
          for (int i = 0; i < target.fault().magnitude(); i++) {
            fleet.startEndpoint(fleet.random().nextInt(fleet.zones().size()), true);
          }
        });
  }
}
