package stonespring.testbed;

import java.util.List;
import java.util.Map;

/** Planned changes of the set of endpoints: rolling restarts, draining, growth. */
final class DeploymentFaults {
  private static final double RESTART_MILLIS = 500;

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

  /** Restarts in batches; the magnitude is a batch's fraction of all endpoints. */
  private void deploy(FaultTarget target) {
    Scenario.Fault fault = target.fault();
    List<EndpointStandIn> endpoints = target.endpoints();
    int batch = (int) Math.max(1, Math.round(fault.magnitude() * fleet.endpointCount()));
    int batches = (endpoints.size() + batch - 1) / batch;
    for (int i = 0; i < endpoints.size(); i++) {
      EndpointStandIn endpoint = endpoints.get(i);
      double drainAt = timeline.now() + fault.durationMillis() * (i / batch) / Math.max(1, batches);
      timeline.scheduleAt(drainAt, () -> fleet.registry().set(endpoint, true));
      timeline.scheduleAt(
          drainAt + fault.intervalMillis() + fleet.listDelayMillis(),
          () -> fleet.crashAndRestart(endpoint, timeline.now() + RESTART_MILLIS));
    }
  }

  /** Drains a new draw each interval and kills it after the magnitude, in milliseconds. */
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
    fleet.registry().set(endpoint, true);
    timeline.scheduleAt(
        timeline.now() + fault.magnitude(),
        () -> fleet.crashAndRestart(endpoint, timeline.now() + fault.intervalMillis()));
  }

  private void shrink(FaultTarget target) {
    for (EndpointStandIn endpoint : target.endpoints()) {
      fleet.registry().set(endpoint, true);
      timeline.scheduleAt(
          target.endMillis(),
          () -> {
            fleet.registry().remove(endpoint);
            endpoint.crash();
          });
    }
  }

  /** Starts as many endpoints each interval as the magnitude says. */
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
