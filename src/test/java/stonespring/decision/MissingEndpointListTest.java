package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.decision.Fleet.READY;
import static stonespring.decision.Fleet.SECOND;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import stonespring.model.Command;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/**
 * Tests that an instance that has no usable endpoint list takes nothing from its proxies. Guards
 * against a first start during an outage of discovery at which all proxies lost their bootstrap
 * routes to working endpoints.
 */
final class MissingEndpointListTest {
  private static final int PROXY_COUNT = 6;
  private static final int ENDPOINT_COUNT = 6;
  private static final int SEQUENCE_COUNT = 1000;
  private static final int OUTAGE_STEP_COUNT = 40;
  private static final int RECOVERY_STEP_COUNT = 20;
  private static final double COST = 0.03;

  private static Fleet fleetWithoutList(boolean platform) {
    FleetSettings settings = new FleetSettings();
    Fleet fleet =
        new Fleet(platform ? settings.build().withPlatformConstraints() : settings.build());
    fleet.startEngine(1);
    return fleet;
  }

  private static void connectAll(Fleet fleet, boolean withoutTables) {
    for (int proxy = 0; proxy < PROXY_COUNT; proxy++) {
      fleet.connect(proxy, proxy % 2, 10, withoutTables);
    }
  }

  /** Reports that the endpoints of the bootstrap routes, which no list has named, work. */
  private static void reportWorkingEndpoints(Fleet fleet) {
    for (int i = 0; i < ENDPOINT_COUNT; i++) {
      fleet.reportOutcomes("t" + i, 10, 0);
    }
    fleet.report(COST, Map.of());
  }

  private static void listAllAsReady(Fleet fleet) {
    for (int i = 0; i < ENDPOINT_COUNT; i++) {
      fleet.updateEndpoint("t" + i, i % 2, READY, 0);
    }
  }

  /** Fails the test if the last step's commands take routes or requests from any proxy. */
  private static void assertNothingTaken(Fleet fleet, String when) {
    assertEquals(List.of(), fleet.commandsOf(Command.AssignRouteTable.class), when);
    assertEquals(List.of(), fleet.commandsOf(Command.ExcludeEndpoint.class), when);
    assertEquals(1, fleet.lowestLimit, when + ": admission limit");
  }

  /** Guards against first tables without routes, which wiped bootstrap routes. */
  @Test
  void keepsBootstrapRoutesUntilListArrives() {
    for (boolean platform : new boolean[] {false, true}) {
      Fleet fleet = fleetWithoutList(platform);
      connectAll(fleet, true);
      for (int step = 0; step < OUTAGE_STEP_COUNT; step++) {
        fleet.report(COST, Map.of());
        fleet.step(SECOND / 2);
        fleet.acknowledgeAll();
        assertNothingTaken(fleet, "step " + step);
      }
      listAllAsReady(fleet);
      fleet.step(SECOND / 2);
      assertEquals(PROXY_COUNT, fleet.commandsOf(Command.AssignRouteTable.class).size());
      fleet.proxies.values().forEach(proxy -> assertFalse(proxy.shares().isEmpty()));
    }
  }

  /** Guards against exclusions and limits that follow from reports about unlisted endpoints. */
  @Test
  void reportsWithoutListExcludeNothingAndLimitNothing() {
    Fleet fleet = fleetWithoutList(false);
    connectAll(fleet, true);
    for (int step = 0; step < OUTAGE_STEP_COUNT; step++) {
      reportWorkingEndpoints(fleet);
      fleet.step(SECOND);
      fleet.acknowledgeAll();
      assertNothingTaken(fleet, "step " + step);
    }
  }

  /**
   * A cached list that names no ready endpoint is no reason to replace a table, or to shed load.
   */
  @Test
  void cachedListOfDrainingEndpointsReplacesNoTable() {
    Fleet fleet = new Fleet(new FleetSettings().build());
    fleet.endpoints.put("t0", Fleet.endpointRecord("t0", 0, EndpointRecord.State.DRAINING, 0));
    fleet.startEngine(1);
    connectAll(fleet, true);
    for (int step = 0; step < OUTAGE_STEP_COUNT; step++) {
      reportWorkingEndpoints(fleet);
      fleet.reportOutcomes("t0", 10, 0);
      fleet.step(SECOND);
      fleet.acknowledgeAll();
      assertEquals(List.of(), fleet.commandsOf(Command.AssignRouteTable.class));
      assertEquals(1, fleet.lowestLimit, "admission limit");
    }
  }

  /** Once discovery says that an endpoint in use is not listed, proxies are told to leave it. */
  @Test
  void excludesUnlistedEndpointsOnceListArrives() {
    Fleet fleet = fleetWithoutList(false);
    connectAll(fleet, false);
    reportWorkingEndpoints(fleet);
    fleet.step(SECOND);
    fleet.events.add(
        new Event.EndpointListUpdate(
            Event.ListUpdateKind.SNAPSHOT, List.of(Fleet.endpointRecord("t0", 0, READY, 0))));
    fleet.step(SECOND / 10);
    reportWorkingEndpoints(fleet);
    fleet.step(SECOND);
    TreeSet<String> excluded = new TreeSet<>();
    fleet
        .commandsOf(Command.ExcludeEndpoint.class)
        .forEach(command -> excluded.add(command.endpoint().name()));
    assertEquals(new TreeSet<>(List.of("t1", "t2", "t3", "t4", "t5")), excluded);
  }

  /**
   * Crosses connections with and without tables, reports, restarts of the engine and failed
   * requests for the list in random order, until the list arrives: before, nothing is taken from a
   * proxy; afterwards, each connected one has a route within the limit.
   */
  @Test
  void randomOutagesTakeNothingFromProxies() {
    for (long seed = 1; seed <= SEQUENCE_COUNT; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      Fleet fleet = fleetWithoutList(random.nextBoolean());
      int outageSteps = random.nextInt(OUTAGE_STEP_COUNT);
      for (int step = 0; step < outageSteps; step++) {
        changeDuringOutage(fleet, random);
        fleet.step(1 + random.nextLong(SECOND));
        fleet.acknowledgeAll();
        assertNothingTaken(fleet, "seed " + seed + ", step " + step);
      }
      listAllAsReady(fleet);
      for (int step = 0; step < RECOVERY_STEP_COUNT; step++) {
        fleet.report(COST, Map.of());
        fleet.step(SECOND / 2);
        fleet.acknowledgeAll();
        fleet.checkInvariants("seed " + seed + ", recovery step " + step);
      }
      for (FleetProxy proxy : fleet.proxies.values()) {
        assertTrue(
            !proxy.connected || !proxy.shares().isEmpty(),
            "seed " + seed + ": proxy " + proxy.number + " has no route");
      }
    }
  }

  private static void changeDuringOutage(Fleet fleet, SplittableRandom random) {
    switch (random.nextInt(8)) {
      case 0 -> fleet.restartEngine(random.nextLong());
      case 1 ->
          fleet.events.add(
              new Event.EndpointListUpdate(Event.ListUpdateKind.FETCH_FAILED, List.of()));
      case 2, 3 -> reportWorkingEndpoints(fleet);
      case 4, 5 -> fleet.connectRandomProxy(random, PROXY_COUNT);
      case 6 -> fleet.disconnectRandomProxy(random, PROXY_COUNT);
      default -> {
        // Time passes.
      }
    }
  }
}
