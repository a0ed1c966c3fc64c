package stonespring.testbed;

import java.util.List;
import java.util.Map;

/**
 * Faults of the endpoints themselves: crashes, errors, pauses, lost responses, false load reports.
 * Used from the scenario's thread only.
 */
final class EndpointFaults {
  /** Ends the failure of a request class; see {@link EndpointStandIn#setFailingRequestClass}. */
  private static final String NO_REQUEST_CLASS = "";

  private final ScenarioFleet fleet;
  private final Timeline timeline;

  EndpointFaults(ScenarioFleet fleet, Timeline timeline) {
    this.fleet = fleet;
    this.timeline = timeline;
  }

  void register(Map<FaultKind, FaultInjection> injections) {
    injections.put(FaultKind.CRASH, this::crash);
    injections.put(FaultKind.ZONE_LOSS, this::loseZone);
    injections.put(FaultKind.SILENT, this::silence);
    injections.put(FaultKind.FAST_ERRORS, this::failFast);
    injections.put(FaultKind.FLAPPING, this::flap);
    injections.put(FaultKind.OP_TYPE_FAILS, this::failRequestClass);
    injections.put(FaultKind.LOST_ANSWERS, this::loseResponses);
    injections.put(FaultKind.PAUSES, this::pause);
    injections.put(FaultKind.FALSE_REPORTS, this::falsifyReports);
    injections.put(FaultKind.SLOW_HANDSHAKES, this::slowDownHandshakes);
  }

  private void crash(FaultTarget target) {
    target.endpoints().forEach(endpoint -> fleet.crashAndRestart(endpoint, target.endMillis()));
  }

  private void loseZone(FaultTarget target) {
    fleet
        .runningEndpoints(target.fault().zone())
        .forEach(endpoint -> fleet.crashAndRestart(endpoint, target.endMillis()));
  }

  /** Leaves requests unanswered for the duration, then kills the endpoints and restarts them. */
  private void silence(FaultTarget target) throws Exception {
    List<EndpointStandIn> endpoints = target.endpoints();
    timeline.runDuring(
        target.fault(),
        () -> endpoints.forEach(endpoint -> endpoint.setSilent(true)),
        () -> crashRunning(endpoints));
  }

  private void crashRunning(List<EndpointStandIn> endpoints) {
    for (EndpointStandIn endpoint : endpoints) {
      if (endpoint.isUp()) {
        fleet.crashAndRestart(endpoint, timeline.now());
      }
    }
  }

  /** Makes endpoints fail requests at once; the magnitude is the fraction that fails. */
  private void failFast(FaultTarget target) throws Exception {
    double fraction = target.fault().magnitude();
    timeline.runDuring(
        target.fault(),
        () -> target.endpoints().forEach(endpoint -> endpoint.setErrorFraction(fraction)),
        () -> target.endpoints().forEach(endpoint -> endpoint.setErrorFraction(0)));
  }

  /**
   * Decides at each interval, at random for each endpoint, whether it fails all requests. The last
   * decision stays in force after the fault, until the endpoint restarts.
   */
  private void flap(FaultTarget target) {
    timeline.scheduleRepeatedly(
        target.fault(),
        () ->
            target
                .endpoints()
                .forEach(
                    endpoint -> endpoint.setErrorFraction(fleet.random().nextBoolean() ? 1 : 0)));
  }

  /** Fails one request class; the magnitude is its position in the settings. */
  private void failRequestClass(FaultTarget target) throws Exception {
    List<String> names = fleet.requestClassNames();
    String name = names.get(Math.min(names.size() - 1, (int) target.fault().magnitude()));
    timeline.runDuring(
        target.fault(),
        () -> target.endpoints().forEach(endpoint -> endpoint.setFailingRequestClass(name)),
        () ->
            target
                .endpoints()
                .forEach(endpoint -> endpoint.setFailingRequestClass(NO_REQUEST_CLASS)));
  }

  /** Drops responses of executed requests; the magnitude is the fraction that is dropped. */
  private void loseResponses(FaultTarget target) throws Exception {
    double fraction = target.fault().magnitude();
    timeline.runDuring(
        target.fault(),
        () -> target.endpoints().forEach(endpoint -> endpoint.setLostResponseFraction(fraction)),
        () -> target.endpoints().forEach(endpoint -> endpoint.setLostResponseFraction(0)));
  }

  /** Pauses endpoints at each interval; the magnitude is the mean pause in milliseconds. */
  private void pause(FaultTarget target) {
    double meanPauseMillis = target.fault().magnitude();
    timeline.scheduleRepeatedly(
        target.fault(),
        () ->
            target
                .endpoints()
                .forEach(
                    endpoint ->
                        endpoint.pause(meanPauseMillis * (0.5 + fleet.random().nextDouble()))));
  }

  /** Makes endpoints report a multiple of their utilization; the magnitude is the multiple. */
  private void falsifyReports(FaultTarget target) throws Exception {
    double multiple = target.fault().magnitude();
    timeline.runDuring(
        target.fault(),
        () -> target.endpoints().forEach(endpoint -> endpoint.setReportMultiple(multiple)),
        () -> target.endpoints().forEach(endpoint -> endpoint.setReportMultiple(1)));
  }

  /** Makes new connections cost more; the magnitude is the multiple of the usual core time. */
  private void slowDownHandshakes(FaultTarget target) throws Exception {
    double multiple = target.fault().magnitude();
    timeline.runDuring(
        target.fault(),
        () -> target.endpoints().forEach(endpoint -> endpoint.setHandshakeMultiple(multiple)),
        () -> target.endpoints().forEach(endpoint -> endpoint.setHandshakeMultiple(1)));
  }
}
