package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.decision.Fleet.READY;
import static stonespring.decision.Fleet.SECOND;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import stonespring.model.Command;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/** Tests how route tables follow the endpoint list. */
final class EndpointListTest {
  @Test
  void assignsTablesToConnectedProxiesInTheFirstBatch() {
    Fleet fleet = Fleet.create(8, 4);
    assertEquals(4, fleet.commandsOf(Command.AssignRouteTable.class).size());
    for (FleetProxy p : fleet.proxies.values()) {
      assertEquals(4, p.shares().size());
    }
    assertEquals(
        1,
        fleet.commandsOf(Command.RequestAck.class).size(),
        "one acknowledgement is requested for the batch");
  }

  @Test
  void replacesDrainingEndpointsInTheSameBatch() {
    Fleet fleet = Fleet.create(8, 4);
    fleet.runRounds(3, 0.03, Map.of());
    fleet.updateEndpoint("t0", 0, EndpointRecord.State.DRAINING, 0);
    fleet.step(10);
    assertTrue(
        fleet.load("t0") == 0 && fleet.commandsOf(Command.ExcludeEndpoint.class).isEmpty(),
        "t0 is removed from known tables, which needs no exclusion");
    for (FleetProxy p : fleet.proxies.values()) {
      assertEquals(4, p.shares().size(), "the draining endpoint is replaced by a ready one");
    }
  }

  /**
   * A list may lack endpoints that still run. If these were no longer used, the others would be
   * overloaded.
   */
  @Test
  void keepsUsingRemovedEndpointsUntilAttemptsFailWhereAllowed() {
    Fleet fleet = Fleet.create(new FleetSettings().removedKeepServing(true).build(), 8, 8);
    fleet.runRounds(5, 0.03, Map.of());
    fleet.updateEndpoint("t0", 0, EndpointRecord.State.REMOVED, 0);
    fleet.updateEndpoint("t1", 1, EndpointRecord.State.REMOVED, 0);
    fleet.updateEndpoint("t2", 0, EndpointRecord.State.DRAINING, 0);
    fleet.runRounds(15, 0.03, Map.of("t1", 1.0));
    assertTrue(
        fleet.load("t0") > 5, "t0 is removed but still answers; its load is " + fleet.load("t0"));
    assertEquals(0, fleet.load("t1"), "all attempts at the removed t1 fail");
    assertEquals(0, fleet.load("t2"), "t2 is draining, so it is not used even though it answers");
  }

  /**
   * Reports are too old between rounds to adjust weights by, so that only routes to unavailable
   * endpoints are replaced.
   */
  @Test
  void changesOnlyAffectedRoutesBetweenRounds() {
    Fleet fleet = Fleet.createWithLargeProxy(12, 8, 60, 5);
    fleet.step(1);
    fleet.runRounds(1, 0.08, Map.of());
    fleet.updateEndpoint("t0", 0, EndpointRecord.State.DRAINING, 0);
    long affectedTables =
        fleet.proxies.values().stream().filter(p -> p.shares().containsKey("t0")).count();
    fleet.step(10);
    assertTrue(
        affectedTables > 0 && fleet.commandsOf(Command.SetRoute.class).size() <= 4 * affectedTables,
        "expected at most 4 changed routes in each of "
            + affectedTables
            + " tables with a route to t0, found "
            + fleet.commandsOf(Command.SetRoute.class).size());
  }

  @Test
  void retriesWatchAfterFailureAndKeepsLastList() {
    Fleet fleet = new Fleet(new FleetSettings().watchRequired().build());
    fleet.endpoints.put("t0", Fleet.endpointRecord("t0", 0, READY, 0));
    fleet.startEngine(3);
    fleet.step(1);
    assertEquals(
        List.of(new Command.WatchEndpoints(true)), fleet.commandsOf(Command.WatchEndpoints.class));
    fleet.events.add(new Event.EndpointListUpdate(Event.ListUpdateKind.FETCH_FAILED, List.of()));
    fleet.step(1);
    assertFalse(
        fleet.commands.contains(new Command.WatchEndpoints(true)),
        "the watch is not requested again before the backoff has elapsed");
    int requests = 0;
    for (int i = 0; i < 10; i++) {
      fleet.step(SECOND);
      requests += fleet.commandsOf(Command.WatchEndpoints.class).size();
    }
    assertTrue(requests >= 1, "the watch is requested again within 10 s");
    fleet.connect(0, 0, 1, true);
    fleet.step(1);
    assertEquals(1, fleet.shares(0).size(), "the endpoint of the last list is used");
  }

  /**
   * Guards against requests for the list that wait for the periodic timer, which fires twice in a
   * report interval: the instance would count as notified of changes before it asks for them.
   */
  @Test
  void requestsListInTimeWhenReportsAreRare() {
    long maxDelay = 6 * SECOND;
    long responseTimeout = 5 * SECOND / 2;
    FleetSettings rareReports = new FleetSettings().watchRequired().reportInterval(12 * SECOND);
    Fleet fleet = new Fleet(rareReports.build().withPlatformConstraints());
    fleet.startEngine(3);
    fleet.step(1);
    for (int request = 0; request < 6; request++) {
      fleet.events.add(new Event.EndpointListUpdate(Event.ListUpdateKind.FETCH_FAILED, List.of()));
      fleet.step(1);
      long refusedAt = fleet.now;
      while (fleet.commandsOf(Command.WatchEndpoints.class).isEmpty()) {
        fleet.step(10);
      }
      long answeredAt = fleet.now + responseTimeout;
      assertTrue(
          answeredAt - refusedAt <= maxDelay,
          "expected an answer within " + maxDelay + ", found " + (answeredAt - refusedAt));
    }
  }
}
