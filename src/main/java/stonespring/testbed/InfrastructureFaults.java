package stonespring.testbed;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Faults of the instances, of the registry and of the network between zones. Used from the
 * scenario's thread only.
 */
final class InfrastructureFaults {
  private final ScenarioFleet fleet;
  private final Timeline timeline;

  InfrastructureFaults(ScenarioFleet fleet, Timeline timeline) {
    this.fleet = fleet;
    this.timeline = timeline;
  }

  void register(Map<FaultKind, FaultInjection> injections) {
    injections.put(FaultKind.ASSIGNER_CRASH, this::crashInstances);
    injections.put(FaultKind.ASSIGNER_STALL, this::stallInstances);
    injections.put(FaultKind.WRONG_LIST, this::hideEndpoints);
    injections.put(FaultKind.REGISTRY_DEAD, this::makeRegistryUnavailable);
    injections.put(FaultKind.ZONE_CUT, this::isolateZone);
  }

  private void crashInstances(FaultTarget target) throws InterruptedException {
    List<InstanceProcess> killed = fleet.sample(fleet.instances(), target.fault().fraction());
    for (InstanceProcess instance : killed) {
      instance.kill();
      timeline.scheduleAt(target.endMillis(), instance::start);
    }
  }

  /**
   * Makes all instances appear stalled at each interval by freezing their links; the magnitude is
   * the length of a stall in milliseconds.
   */
  private void stallInstances(FaultTarget target) {
    timeline.scheduleRepeatedly(
        target.fault(),
        () -> {
          ProxyFaults.forEachLink(fleet.proxies(), link -> link.setFrozen(true));
          timeline.scheduleAt(
              timeline.now() + target.fault().magnitude(),
              () -> ProxyFaults.forEachLink(fleet.proxies(), link -> link.setFrozen(false)));
        });
  }

  private void hideEndpoints(FaultTarget target) throws Exception {
    RegistryStandIn registry = fleet.registry();
    timeline.runDuring(
        target.fault(),
        () -> target.endpoints().forEach(endpoint -> registry.setHidden(endpoint.name(), true)),
        () -> target.endpoints().forEach(endpoint -> registry.setHidden(endpoint.name(), false)));
  }

  private void makeRegistryUnavailable(FaultTarget target) throws Exception {
    timeline.runDuring(
        target.fault(),
        () -> fleet.registry().setUnavailable(true),
        () -> fleet.registry().setUnavailable(false));
  }

  private void isolateZone(FaultTarget target) throws Exception {
    String zone = fleet.zones().get(Math.max(0, target.fault().zone()));
    timeline.runDuring(
        target.fault(), () -> setIsolated(zone, true), () -> setIsolated(zone, false));
  }

  /**
   * Isolates a zone or ends its isolation: endpoints leave requests from the other side unanswered,
   * and links between a proxy and an instance on different sides freeze.
   */
  private void setIsolated(String zone, boolean isolated) {
    Set<String> otherZones = new LinkedHashSet<>(fleet.zones());
    otherZones.remove(zone);
    for (EndpointStandIn endpoint : fleet.endpoints()) {
      Set<String> unreachable = endpoint.zone().equals(zone) ? otherZones : Set.of(zone);
      endpoint.setUnreachableZones(isolated ? unreachable : Set.of());
    }
    for (ScenarioProxy proxy : fleet.proxies()) {
      boolean proxyInside = fleet.zones().get(proxy.zone()).equals(zone);
      for (int i = 0; i < proxy.links().size(); i++) {
        // Instances belong to no zone; instance i is treated as part of zone i.
        boolean instanceInside = fleet.zones().get(i % fleet.zones().size()).equals(zone);
        if (proxyInside != instanceInside) {
          proxy.links().get(i).setFrozen(isolated);
        }
      }
    }
  }
}
