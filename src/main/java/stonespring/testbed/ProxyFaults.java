package stonespring.testbed;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import stonespring.proxy.Proxy;

/** Faults of proxies, of their clients and of their links to the instances. */
final class ProxyFaults {
  /** The link's listener that carries the snapshot; see {@link WireTap}. */
  private static final int SNAPSHOT_LISTENER = 0;

  private static final int UPDATE_LISTENER = 1;

  private final ScenarioFleet fleet;
  private final Timeline timeline;

  ProxyFaults(ScenarioFleet fleet, Timeline timeline) {
    this.fleet = fleet;
    this.timeline = timeline;
  }

  void register(Map<FaultKind, FaultInjection> injections) {
    injections.put(FaultKind.LATE_REPORTS, this::delayReports);
    injections.put(FaultKind.SLOW_CHANNEL, this::slowChannel);
    injections.put(FaultKind.BYTE_BY_BYTE, this::passByteByByte);
    injections.put(
        FaultKind.RECONNECT, target -> forEachLink(target.proxies(), link -> link.cut(false)));
    injections.put(
        FaultKind.HALF_CLOSE,
        target -> forEachLink(target.proxies(), link -> link.halfClose(UPDATE_LISTENER)));
    injections.put(FaultKind.CUT_IN_SNAPSHOT, this::cutInSnapshot);
    injections.put(FaultKind.PROXY_CRASH, this::crash);
    injections.put(FaultKind.PROXY_STALL, this::stall);
    injections.put(FaultKind.SURGE, this::surge);
    injections.put(FaultKind.IMPATIENCE, this::shortenPatience);
  }

  /** Does something to every link of some proxies. */
  static void forEachLink(List<ScenarioProxy> proxies, Consumer<FaultyLink> action) {
    proxies.forEach(proxy -> proxy.links().forEach(action));
  }

  private void delayReports(FaultTarget target) throws Exception {
    long millis = (long) target.fault().magnitude();
    timeline.runDuring(
        target.fault(),
        () -> forEachLink(target.proxies(), link -> link.delay(millis, 0)),
        () -> forEachLink(target.proxies(), link -> link.delay(0, 0)));
  }

  private void slowChannel(FaultTarget target) throws Exception {
    double bytesPerMillisecond = target.fault().magnitude();
    timeline.runDuring(
        target.fault(),
        () -> forEachLink(target.proxies(), link -> link.slow(bytesPerMillisecond)),
        () -> forEachLink(target.proxies(), link -> link.slow(Double.MAX_VALUE)));
  }

  private void passByteByByte(FaultTarget target) throws Exception {
    timeline.runDuring(
        target.fault(),
        () -> forEachLink(target.proxies(), link -> link.byteByByte(true)),
        () -> forEachLink(target.proxies(), link -> link.byteByByte(false)));
  }

  private void cutInSnapshot(FaultTarget target) {
    long bytes = (long) target.fault().magnitude();
    forEachLink(
        target.proxies(),
        link -> {
          link.cutAfter(SNAPSHOT_LISTENER, bytes);
          link.cut(false);
        });
  }

  private void crash(FaultTarget target) throws InterruptedException {
    for (ScenarioProxy proxy : target.proxies()) {
      proxy.proxy().stop();
      timeline.scheduleAt(target.endMillis(), () -> fleet.startProxy(proxy));
    }
  }

  private void stall(FaultTarget target) {
    timeline.scheduleRepeatedly(
        target.fault(),
        () -> target.proxies().forEach(proxy -> stall(proxy.proxy(), target.fault().magnitude())));
  }

  private void stall(Proxy proxy, double millis) {
    proxy.setStalled(true);
    timeline.scheduleAt(timeline.now() + millis, () -> proxy.setStalled(false));
  }

  private void surge(FaultTarget target) throws Exception {
    double multiple = target.fault().magnitude();
    timeline.runDuring(
        target.fault(),
        () -> fleet.proxies().forEach(p -> p.client().rate(p.requestsPerSecond() * multiple)),
        () -> fleet.proxies().forEach(p -> p.client().rate(p.requestsPerSecond())));
  }

  private void shortenPatience(FaultTarget target) throws Exception {
    double fraction = target.fault().magnitude();
    timeline.runDuring(
        target.fault(),
        () -> fleet.proxies().forEach(proxy -> proxy.client().patience(fraction)),
        () -> fleet.proxies().forEach(proxy -> proxy.client().patience(1)));
  }
}
