package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.decision.Fleet.READY;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests which endpoints have routes in tables, and the weights of these routes. */
final class RouteWeightsTest {
  @Test
  void addsRoutesWhenProxyHasMuchTraffic() {
    Fleet fleet = Fleet.createWithLargeProxy(12, 5, 100, 5);
    fleet.runRounds(20, 0.05, Map.of());
    assertTrue(
        fleet.shares(0).size() >= 10,
        "routes of the large proxy: expected at least 10, found " + fleet.shares(0).size());
    assertTrue(
        fleet.shares(1).size() <= 6,
        "routes of a small proxy: expected at most 6, found " + fleet.shares(1).size());
  }

  @Test
  void keepsSmallRouteToFailingEndpoint() {
    Fleet fleet = Fleet.create(8, 8);
    fleet.runRounds(5, 0.03, Map.of());
    double loadBefore = fleet.load("t3");
    fleet.runRounds(10, 0.03, Map.of("t3", 1.0));
    assertTrue(
        fleet.load("t3") < loadBefore / 3,
        "load of t3: expected less than a third of " + loadBefore + ", found " + fleet.load("t3"));
    assertTrue(fleet.load("t3") > 0, "a route must remain to show when t3 recovers");
  }

  @Test
  void keepsLoadWhenAllEndpointsFailAlike() {
    Fleet fleet = Fleet.create(8, 8);
    fleet.runRounds(10, 0.03, Map.of());
    Map<String, Double> failureShares = new TreeMap<>();
    fleet.endpoints.keySet().forEach(name -> failureShares.put(name, 0.7));
    fleet.runRounds(6, 0.03, failureShares);
    for (String endpoint : fleet.endpoints.keySet()) {
      assertTrue(
          fleet.load(endpoint) > 2,
          "load of " + endpoint + ": expected more than 2, found " + fleet.load(endpoint));
    }
  }

  @Test
  void avoidsEndpointsLoadedByOtherInstances() {
    Fleet fleet = new Fleet(new FleetSettings().instances(2).build());
    for (int i = 0; i < 8; i++) {
      fleet.endpoints.put("t" + i, Fleet.endpointRecord("t" + i, i % 2, READY, 0));
      fleet.otherInstancesLoad.put("t" + i, i < 4 ? 16.0 : 4.0);
    }
    fleet.startEngine(7);
    for (int p = 0; p < 8; p++) {
      fleet.connect(p, p % 2, 10, true);
    }
    fleet.step(1);
    fleet.runRounds(30, 0.03, Map.of());
    double rateAtLoadedEndpoints =
        fleet.load("t0") + fleet.load("t1") + fleet.load("t2") + fleet.load("t3");
    assertTrue(
        rateAtLoadedEndpoints < 0.45 * 80,
        "requests per second to endpoints loaded by other instances: expected less than 0.45 of 80, found "
            + rateAtLoadedEndpoints);
  }

  @Test
  void keepsRequestsInZoneWhileCapacityIsAmple() {
    Fleet fleet = Fleet.create(12, 8);
    fleet.runRounds(60, 0.03, Map.of());
    double crossZoneRate =
        fleet.proxies.values().stream()
            .mapToDouble(
                p ->
                    p.shares().entrySet().stream()
                        .filter(e -> fleet.endpoints.get(e.getKey()).zone().index() != p.zone)
                        .mapToDouble(e -> p.requestRate * e.getValue())
                        .sum())
            .sum();
    assertTrue(
        crossZoneRate < 3,
        "requests per second to other zones: expected less than 3 of 80, found " + crossZoneRate);
  }

  @Test
  void addsIdleEndpointsToTables() {
    Fleet fleet = Fleet.create(16, 3);
    fleet.runRounds(60, 0.05, Map.of());
    long idleCount =
        fleet.endpoints.keySet().stream().filter(name -> fleet.load(name) == 0).count();
    assertTrue(
        idleCount <= 6,
        "idle endpoints: expected at most 6 of 16 with 3 tables of 4 routes, found " + idleCount);
  }

  @Test
  void addsNewEndpointsToTables() {
    Fleet fleet = Fleet.create(6, 8);
    fleet.runRounds(5, 0.04, Map.of());
    for (int i = 0; i < 10; i++) {
      fleet.updateEndpoint("new" + i, i % 2, READY, fleet.now);
    }
    fleet.runRounds(25, 0.04, Map.of());
    long usedCount =
        fleet.endpoints.keySet().stream()
            .filter(name -> name.startsWith("new") && fleet.load(name) > 0.5)
            .count();
    assertTrue(
        usedCount >= 8,
        "new endpoints with requests: expected at least 8 of 10, found " + usedCount);
  }
}
