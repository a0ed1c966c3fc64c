package stonespring.testbed;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import stonespring.proxy.Proxy;

/**
 * Faults of proxies, of their clients and of their links to the instances. Used from the scenario's
 * thread only.
 */
final class ProxyFaults {
  /** The index of a link's listener for snapshots; the order is that of an instance's ports. */
  private static final int SNAPSHOT_LISTENER = 0;

  /** The index of a link's listener for updates. */
  private static final int UPDATE_LISTENER = 1;

  private final ScenarioFleet fleet;
  private final Timeline timeline;

  ProxyFaults(ScenarioFleet fleet, Timeline timeline) {
    this.fleet = fleet;
    this.timeline = timeline;
  }

  void register(Map<FaultKind, FaultInjection> injections) {
    injections.put(FaultKind.LATE_REPORTS, this::delayReports);
    injections.put(FaultKind.SLOW_CHANNEL, this::slowLinks);
    injections.put(FaultKind.BYTE_BY_BYTE, this::passByteByByte);
    injections.put(
        FaultKind.RECONNECT,
        target -> forEachLink(target.proxies(), link -> link.closeConnections(false)));
    injections.put(
        FaultKind.HALF_CLOSE,
        target -> forEachLink(target.proxies(), link -> link.halfClose(UPDATE_LISTENER)));
    injections.put(FaultKind.CUT_IN_SNAPSHOT, this::closeDuringSnapshot);
    injections.put(FaultKind.PROXY_CRASH, this::crash);
    injections.put(FaultKind.PROXY_STALL, this::stall);
    injections.put(FaultKind.SURGE, this::surge);
    injections.put(FaultKind.IMPATIENCE, this::shortenClientTimeouts);
  }

  /** Applies an action to every link of the given proxies. */
  static void forEachLink(List<ScenarioProxy> proxies, Consumer<FaultyLink> action) {
    proxies.forEach(proxy -> proxy.links().forEach(action));
  }

  /** Delays all that proxies send to instances; the magnitude is the delay in milliseconds. */
  private void delayReports(FaultTarget target) throws Exception {
    long millis = (long) target.fault().magnitude();
    timeline.runDuring(
        target.fault(),
        () -> forEachLink(target.proxies(), link -> link.setDelays(millis, 0)),
        () -> forEachLink(target.proxies(), link -> link.setDelays(0, 0)));
  }

  private void slowLinks(FaultTarget target) throws Exception {
    double bytesPerMillisecond = target.fault().magnitude();
    timeline.runDuring(
        target.fault(),
        () -> forEachLink(target.proxies(), link -> link.setDownstreamRate(bytesPerMillisecond)),
        () -> forEachLink(target.proxies(), link -> link.setDownstreamRate(Double.MAX_VALUE)));
  }

  private void passByteByByte(FaultTarget target) throws Exception {
    timeline.runDuring(
        target.fault(),
        () -> forEachLink(target.proxies(), link -> link.setByteByByte(true)),
        () -> forEachLink(target.proxies(), link -> link.setByteByByte(false)));
  }

  /**
   * Makes proxies reconnect and closes a snapshot connection on each link early; the magnitude is
   * the number of bytes that reach the proxy before.
   */
  private void closeDuringSnapshot(FaultTarget target) {
    long bytes = (long) target.fault().magnitude();
    forEachLink(
        target.proxies(),
        link -> {
          link.closeConnectionAfter(SNAPSHOT_LISTENER, bytes);
          link.closeConnections(false);
        });
  }

  private void crash(FaultTarget target) throws InterruptedException {
    for (ScenarioProxy proxy : target.proxies()) {
      proxy.proxy().stop();
      timeline.scheduleAt(target.endMillis(), () -> fleet.startProxy(proxy));
    }
  }

  /** Stalls proxies at each interval; the magnitude is the length of a stall in milliseconds. */
  private void stall(FaultTarget target) {
    timeline.scheduleRepeatedly(
        target.fault(),
        () -> target.proxies().forEach(proxy -> stall(proxy.proxy(), target.fault().magnitude())));
  }

  private void stall(Proxy proxy, double millis) {
    proxy.setStalled(true);
    timeline.scheduleAt(timeline.now() + millis, () -> proxy.setStalled(false));
  }

  /** Raises the request rate of all clients, whatever the zone; the magnitude is the multiple. */
  private void surge(FaultTarget target) throws Exception {
    double multiple = target.fault().magnitude();
    timeline.runDuring(
        target.fault(),
        () ->
            fleet
                .proxies()
                .forEach(p -> p.client().setRequestsPerSecond(p.requestsPerSecond() * multiple)),
        () -> fleet.proxies().forEach(p -> p.client().setRequestsPerSecond(p.requestsPerSecond())));
  }

  /** Shortens the timeouts of all clients, whatever the zone; the magnitude is the fraction. */
  private void shortenClientTimeouts(FaultTarget target) throws Exception {
    double fraction = target.fault().magnitude();
    timeline.runDuring(
        target.fault(),
        () -> fleet.proxies().forEach(proxy -> proxy.client().setTimeoutFraction(fraction)),
        () -> fleet.proxies().forEach(proxy -> proxy.client().setTimeoutFraction(1)));
  }
}
