package stonespring.testbed;

import java.util.List;
import java.util.Map;

/** Faults of the endpoints themselves: deaths, errors, pauses, lost answers, wrong reports. */
final class EndpointFaults {
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
    injections.put(FaultKind.LOST_ANSWERS, this::loseAnswers);
    injections.put(FaultKind.PAUSES, this::pause);
    injections.put(FaultKind.FALSE_REPORTS, this::reportFalsely);
    injections.put(FaultKind.SLOW_HANDSHAKES, this::slowHandshakes);
  }

  private void crash(FaultTarget target) {
    target.endpoints().forEach(endpoint -> fleet.crashAndRestart(endpoint, target.endMillis()));
  }

  private void loseZone(FaultTarget target) {
    fleet
        .runningEndpoints(target.fault().zone())
        .forEach(endpoint -> fleet.crashAndRestart(endpoint, target.endMillis()));
  }

  private void silence(FaultTarget target) throws Exception {
    List<EndpointStandIn> endpoints = target.endpoints();
    timeline.runDuring(
        target.fault(),
        () -> endpoints.forEach(endpoint -> endpoint.silent(true)),
        () -> crashRunning(endpoints));
  }

  private void crashRunning(List<EndpointStandIn> endpoints) {
    for (EndpointStandIn endpoint : endpoints) {
      if (endpoint.isUp()) {
        fleet.crashAndRestart(endpoint, timeline.now());
      }
    }
  }

  private void failFast(FaultTarget target) throws Exception {
    double fraction = target.fault().magnitude();
    timeline.runDuring(
        target.fault(),
        () -> target.endpoints().forEach(endpoint -> endpoint.fail(fraction)),
        () -> target.endpoints().forEach(endpoint -> endpoint.fail(0)));
  }

  private void flap(FaultTarget target) {
    timeline.scheduleRepeatedly(
        target.fault(),
        () ->
            target
                .endpoints()
                .forEach(endpoint -> endpoint.fail(fleet.random().nextBoolean() ? 1 : 0)));
  }

  private void failRequestClass(FaultTarget target) throws Exception {
    List<String> names = fleet.requestClassNames();
    String name = names.get(Math.min(names.size() - 1, (int) target.fault().magnitude()));
    timeline.runDuring(
        target.fault(),
        () -> target.endpoints().forEach(endpoint -> endpoint.failRequestClass(name)),
        () -> target.endpoints().forEach(endpoint -> endpoint.failRequestClass(NO_REQUEST_CLASS)));
  }

  private void loseAnswers(FaultTarget target) throws Exception {
    double fraction = target.fault().magnitude();
    timeline.runDuring(
        target.fault(),
        () -> target.endpoints().forEach(endpoint -> endpoint.loseAnswers(fraction)),
        () -> target.endpoints().forEach(endpoint -> endpoint.loseAnswers(0)));
  }

  private void pause(FaultTarget target) {
    double millis = target.fault().magnitude();
    timeline.scheduleRepeatedly(
        target.fault(),
        () ->
            target
                .endpoints()
                .forEach(endpoint -> endpoint.pause(millis * (0.5 + fleet.random().nextDouble()))));
  }

  private void reportFalsely(FaultTarget target) throws Exception {
    double multiple = target.fault().magnitude();
    timeline.runDuring(
        target.fault(),
        () -> target.endpoints().forEach(endpoint -> endpoint.falseReports(multiple)),
        () -> target.endpoints().forEach(endpoint -> endpoint.falseReports(1)));
  }

  private void slowHandshakes(FaultTarget target) throws Exception {
    double multiple = target.fault().magnitude();
    timeline.runDuring(
        target.fault(),
        () -> target.endpoints().forEach(endpoint -> endpoint.slowHandshakes(multiple)),
        () -> target.endpoints().forEach(endpoint -> endpoint.slowHandshakes(1)));
  }
}
