package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.decision.Fleet.READY;
import static stonespring.decision.Fleet.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import stonespring.model.Command;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.LoadReport;
import stonespring.model.ZoneId;

/** Tests a restarted engine with proxies whose tables it does not know. */
final class EngineRestartTest {
  /**
   * Creates a fleet whose engine was restarted with a list that lacks an endpoint to which earlier
   * tables may have routes.
   */
  private static Fleet createRestartedWithout(String endpoint) {
    Fleet fleet = Fleet.create(8, 4);
    fleet.runRounds(5, 0.03, Map.of());
    fleet.endpoints.remove(endpoint);
    fleet.restartEngine(9);
    return fleet;
  }

  @Test
  void keepsUnknownTablesUntilReportsArrive() {
    Fleet fleet = Fleet.create(8, 4);
    fleet.runRounds(3, 0.03, Map.of());
    fleet.restartEngine(9);
    fleet.step(10);
    assertTrue(fleet.commandsOf(Command.AssignRouteTable.class).isEmpty());
    assertTrue(fleet.commandsOf(Command.ExcludeEndpoint.class).isEmpty());
    fleet.updateEndpoint("t0", 0, EndpointRecord.State.REMOVED, 0);
    fleet.step(10);
    assertEquals(
        1,
        fleet.commandsOf(Command.ExcludeEndpoint.class).size(),
        "exclusions are sent before any report arrives");
    List<Command.AssignRouteTable> assignments = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      fleet.events.add(
          new Event.EndpointOutcomes(
              new EndpointId("t1"), new ZoneId(0), 10, 0, SECOND, 1000, LoadReport.NONE));
      fleet.step(SECOND);
      assignments.addAll(fleet.commandsOf(Command.AssignRouteTable.class));
    }
    assertEquals(4, assignments.size());
  }

  @Test
  void repeatsExclusionsForLaterProxiesInBatches() {
    Fleet fleet = Fleet.create(8, 2);
    fleet.restartEngine(9);
    fleet.updateEndpoint("t0", 0, EndpointRecord.State.REMOVED, 0);
    fleet.step(10);
    int messages = fleet.proxies.get(0).messagesSentAt.size();
    for (int p = 5; p < 25; p++) {
      fleet.connect(p, 0, 10, false);
      fleet.step(200);
    }
    fleet.step(SECOND);
    assertTrue(
        fleet.proxies.get(24).excludedEndpoints.contains("t0"),
        "the proxy that connected last is told to exclude t0");
    assertTrue(
        fleet.proxies.get(0).messagesSentAt.size() <= messages + 3,
        "the exclusion notices for 20 proxies are batched");
  }

  /**
   * An endpoint that was removed before the restart is in no list; the engine learns of it from
   * reports.
   */
  @Test
  void excludesUnlistedEndpointsThatReportsName() {
    Fleet fleet = createRestartedWithout("t0");
    fleet.step(10);
    assertEquals(
        0,
        fleet.commandsOf(Command.ExcludeEndpoint.class).size(),
        "neither the list nor a report has named t0");
    fleet.reportOutcomes("t0", 3, 3);
    fleet.step(SECOND);
    assertEquals(
        List.of(new Command.ExcludeEndpoint(new EndpointId("t0"), true)),
        fleet.commandsOf(Command.ExcludeEndpoint.class));
    fleet.updateEndpoint("t0", 0, READY, fleet.now);
    boolean allowedAgain = false;
    for (int round = 0; round < 20; round++) {
      fleet.reportOutcomes("t1", 10, 0);
      fleet.runRounds(1, 0.03, Map.of());
      allowedAgain |=
          fleet
              .commandsOf(Command.ExcludeEndpoint.class)
              .contains(new Command.ExcludeEndpoint(new EndpointId("t0"), false));
    }
    assertTrue(allowedAgain, "t0 is allowed again after it is listed as ready");
  }

  /**
   * Unknown tables are replaced soon, because reports may not show to which endpoints a proxy of
   * little traffic has routes.
   */
  @Test
  void replacesUnknownTablesSoonAfterTheFirstReports() {
    Fleet fleet = createRestartedWithout("t0");
    long restartedAt = fleet.now;
    int assignments = 0;
    for (int i = 0; fleet.now < restartedAt + 2 * SECOND; i++) {
      if (i % 10 == 9) {
        fleet.reportOutcomes("t1", 10, 0);
      }
      fleet.step(SECOND / 10);
      assignments += fleet.commandsOf(Command.AssignRouteTable.class).size();
      assertTrue(i > 3 || assignments == 0, "unknown tables are kept until reports arrive");
    }
    assertEquals(4, assignments);
  }

  /**
   * Under overload, requests include clients' retries. Only successful attempts show how much the
   * endpoints can serve.
   */
  @Test
  void doesNotCountRetriesAsCapacityAfterStartUnderOverload() {
    Fleet fleet = Fleet.create(8, 8);
    Map<String, Double> failureShares = new TreeMap<>();
    fleet.endpoints.keySet().forEach(name -> failureShares.put(name, 0.8));
    fleet.runRounds(3, 0.1, failureShares);
    for (int i = 0; i < 6; i++) {
      fleet.updateEndpoint("entrant" + i, i % 2, READY, fleet.now);
    }
    fleet.runRounds(7, 0.1, failureShares);
    // A fifth of 80 requests per second succeeds, at 14 endpoints; each endpoint can serve at least
    // 0.76 of its share.
    double limit = fleet.meanLimit();
    double capacity = 0.76 * 80 * 0.2 / 0.6 / 14;
    for (int i = 0; i < 6; i++) {
      String entrant = "entrant" + i;
      double possibleRate =
          fleet.proxies.values().stream()
              .filter(p -> p.shares().containsKey(entrant))
              .mapToDouble(
                  p ->
                      p.requestRate
                          * limit
                          / p.shares().keySet().stream()
                              .filter(name -> name.startsWith("entrant"))
                              .count())
              .sum();
      assertTrue(
          possibleRate <= 1.5 * 1.3 * capacity,
          possibleRate
              + " requests per second may reach "
              + entrant
              + ", expected at most 1.95 times its capacity of "
              + capacity);
    }
  }

  /**
   * An engine that has just started knows no load, and earlier tables may have routes to the same
   * warming endpoints, so that its first tables must omit them.
   */
  @Test
  void firstTablesOmitWarmingEndpoints() {
    Fleet fleet = new Fleet(new FleetSettings().build());
    for (int i = 0; i < 12; i++) {
      fleet.endpoints.put(
          "t" + i, Fleet.endpointRecord("t" + i, i % 2, READY, i < 6 ? 0 : fleet.now - 100));
    }
    fleet.startEngine(7);
    for (int p = 0; p < 8; p++) {
      fleet.connect(p, p % 2, 10, true);
    }
    fleet.step(1);
    for (int i = 6; i < 12; i++) {
      assertEquals(0, fleet.load("t" + i), "load of the warming endpoint t" + i);
    }
  }
}
