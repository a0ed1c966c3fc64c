package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.decision.Fleet.READY;
import static stonespring.decision.Fleet.SECOND;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import stonespring.model.Command;
import stonespring.model.EndpointRecord;

/**
 * Tests that proxies whose tables the engine does not know get a table even if no report arrives: a
 * proxy without a route makes no attempts that could be reported.
 */
final class UnknownTablesTest {
  private static final int SEQUENCE_COUNT = 1000;
  private static final int STEP_COUNT = 60;
  private static final int PROXY_COUNT = 6;
  private static final int MAX_ENDPOINTS = 8;
  private static final double COST = 0.03;

  private static Fleet emptyFleet() {
    Fleet fleet = new Fleet(new FleetSettings().build().withPlatformConstraints());
    fleet.startEngine(1);
    return fleet;
  }

  /** Runs steps of half a second in which proxies report what they attempt, if anything. */
  private static void runFor(Fleet fleet, long duration) {
    for (long end = fleet.now + duration; fleet.now < end; ) {
      fleet.report(COST, Map.of());
      fleet.step(SECOND / 2);
      fleet.acknowledgeAll();
      fleet.checkInvariants("at " + fleet.now);
    }
  }

  /** Guards against a restart before the first endpoint is listed that leaves all proxies idle. */
  @Test
  void assignsTablesWhenEndpointsAreListedFirstAfterRestart() {
    Fleet fleet = emptyFleet();
    for (int proxy = 0; proxy < 4; proxy++) {
      fleet.connect(proxy, proxy % 2, 10, true);
    }
    runFor(fleet, 5 * SECOND);
    fleet.restartEngine(2);
    runFor(fleet, 5 * SECOND);
    for (int i = 0; i < 4; i++) {
      fleet.updateEndpoint("t" + i, i % 2, READY, 0);
    }
    runFor(fleet, 10 * SECOND);
    for (FleetProxy proxy : fleet.proxies.values()) {
      assertEquals(4, proxy.shares().size(), "routes of proxy " + proxy.number);
    }
  }

  /** The list of the new process already has the endpoints; the tables of proxies are empty. */
  @Test
  void assignsTablesWhenEndpointsAreListedDuringRestart() {
    Fleet fleet = emptyFleet();
    fleet.connect(0, 0, 10, true);
    runFor(fleet, 2 * SECOND);
    fleet.endpoints.put("t0", Fleet.endpointRecord("t0", 0, READY, 0));
    fleet.restartEngine(2);
    runFor(fleet, 10 * SECOND);
    assertEquals(1, fleet.proxies.get(0).shares().size());
  }

  /** A table that may still have routes is not replaced by an empty one. */
  @Test
  void keepsUnknownTablesWhileNoEndpointIsKnown() {
    Fleet fleet = Fleet.create(4, 2);
    fleet.runRounds(3, COST, Map.of());
    fleet.endpoints.clear();
    fleet.restartEngine(2);
    for (int step = 0; step < 40; step++) {
      fleet.step(SECOND / 2);
      assertTrue(fleet.commandsOf(Command.AssignRouteTable.class).isEmpty());
    }
  }

  /** Without reports, tables are kept for as long as tables that may name drained endpoints. */
  @Test
  void waitsForReportsBeforeItReplacesTables() {
    Fleet fleet = Fleet.create(4, 2);
    fleet.runRounds(3, COST, Map.of());
    fleet.restartEngine(2);
    long restartedAt = fleet.now;
    long limit = fleet.settings.routing().maxTimeWithoutEndpoint();
    boolean assigned = false;
    while (!assigned && fleet.now - restartedAt < limit) {
      fleet.step(SECOND / 10);
      assigned = !fleet.commandsOf(Command.AssignRouteTable.class).isEmpty();
    }
    assertTrue(assigned, "no table was assigned within the limit");
    long waited = fleet.now - restartedAt;
    assertTrue(waited > limit / 2, "waited " + waited);
  }

  /**
   * Crosses restarts, connections with and without tables and lists that are empty or return, in
   * random order. The invariants include that no proxy lacks a route for longer than the limit.
   */
  @Test
  void noProxyLacksRouteInRandomSequences() {
    for (long seed = 1; seed <= SEQUENCE_COUNT; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      Fleet fleet = emptyFleet();
      for (int step = 0; step < STEP_COUNT; step++) {
        change(fleet, random);
        if (random.nextInt(3) > 0) {
          fleet.report(COST, Map.of());
          fleet.acknowledgeAll();
        }
        fleet.step(1 + random.nextLong(SECOND));
        fleet.checkInvariants("seed " + seed + ", step " + step);
      }
    }
  }

  private static void change(Fleet fleet, SplittableRandom random) {
    switch (random.nextInt(12)) {
      case 0 -> fleet.restartEngine(random.nextLong());
      case 1 -> removeAllEndpoints(fleet);
      case 2, 3 -> listEndpoint(fleet, random, READY);
      case 4 -> listEndpoint(fleet, random, EndpointRecord.State.DRAINING);
      case 5, 6 -> fleet.connectRandomProxy(random, PROXY_COUNT);
      case 7 -> fleet.disconnectRandomProxy(random, PROXY_COUNT);
      default -> {
        // Time passes.
      }
    }
  }

  private static void removeAllEndpoints(Fleet fleet) {
    for (String name : List.copyOf(fleet.endpoints.keySet())) {
      fleet.updateEndpoint(name, 0, EndpointRecord.State.REMOVED, 0);
    }
  }

  private static void listEndpoint(
      Fleet fleet, SplittableRandom random, EndpointRecord.State state) {
    int number = random.nextInt(MAX_ENDPOINTS);
    fleet.updateEndpoint("t" + number, number % 2, state, 0);
  }
}
