package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.decision.Fleet.READY;
import static stonespring.decision.Fleet.SECOND;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.EndpointRecord;

/** Tests the load of endpoints that warm up. */
final class SlowStartTest {
  @Test
  void limitsLoadOfRestartedEndpointToItsCapacity() {
    Fleet fleet = Fleet.create(6, 8);
    fleet.runRounds(10, 0.04, Map.of());
    assertTrue(fleet.load("t2") > 5);
    fleet.updateEndpoint("t2", 0, EndpointRecord.State.REMOVED, 0);
    fleet.step(SECOND);
    fleet.updateEndpoint("t2", 0, READY, fleet.now);
    for (int i = 0; i < 12; i++) {
      fleet.runRounds(1, 0.04, Map.of());
      double capacity = Math.min(1, 0.2 + 0.8 * (i + 1) / 10) / 0.04;
      assertTrue(
          fleet.load("t2") <= 1.3 * capacity,
          "round "
              + i
              + ": expected a load of at most 1.3 times the capacity of "
              + capacity
              + ", found "
              + fleet.load("t2"));
    }
    assertTrue(
        fleet.load("t2") > 5,
        "load of the warm endpoint t2: expected more than 5, found " + fleet.load("t2"));
  }

  /**
   * A proxy that ejects its other endpoints sends all its requests to a warming one, which cannot
   * serve those of a large proxy.
   */
  @Test
  void keepsLargeProxyOffWarmingEndpointsUnderOverload() {
    Fleet fleet = Fleet.createWithLargeProxy(6, 8, 100, 2);
    fleet.runRounds(10, 0.03, Map.of());
    Map<String, Double> failureShares = new TreeMap<>();
    fleet.endpoints.keySet().forEach(name -> failureShares.put(name, 0.6));
    fleet.updateEndpoint("entrant0", 0, READY, fleet.now);
    fleet.updateEndpoint("entrant1", 1, READY, fleet.now);
    fleet.runRounds(5, 0.03, failureShares);
    assertTrue(fleet.shares(0).keySet().stream().noneMatch(name -> name.startsWith("entrant")));
    fleet.runRounds(15, 0.03, Map.of());
    assertTrue(
        fleet.shares(0).keySet().stream().anyMatch(name -> name.startsWith("entrant")),
        "the large proxy must use the entrants once they are warm");
  }

  /** A surge that reports do not show yet may make proxies eject all their warm endpoints. */
  @Test
  void keepsPossibleLoadOfWarmingEndpointWithinBudget() {
    Fleet fleet = Fleet.create(6, 40);
    fleet.runRounds(10, 0.02, Map.of());
    for (int i = 0; i < 4; i++) {
      fleet.updateEndpoint("entrant" + i, i % 2, READY, fleet.now);
    }
    boolean someEntrantUsed = false;
    for (int round = 0; round < 12; round++) {
      fleet.runRounds(1, 0.02, Map.of());
      double warmUpFraction =
          Math.min(
              1,
              fleet.settings.slowStart().initialFraction()
                  + (1 - fleet.settings.slowStart().initialFraction()) * round / 10);
      for (int i = 0; i < 4 && warmUpFraction < 1; i++) {
        String entrant = "entrant" + i;
        double all =
            fleet.proxies.values().stream()
                .filter(p -> p.shares().containsKey(entrant))
                .mapToDouble(p -> p.requestRate)
                .sum();
        someEntrantUsed |= all > 0;
        double limit =
            fleet.settings.slowStart().overloadMultiple() * (warmUpFraction + 0.1) / 0.02;
        // The budget is 1.6 times the limit; the rest of 2.4 allows for errors of estimated
        // capacities.
        assertTrue(
            all <= 2.4 * limit,
            "round "
                + round
                + ": "
                + all
                + " requests per second may reach "
                + entrant
                + ", expected at most 2.4 times the overload limit of "
                + limit);
      }
    }
    assertTrue(someEntrantUsed, "some proxy must use a warming endpoint");
  }

  /**
   * Guards against a budget that counts only the planned tables. In a surge without admission
   * limits, larger tables wait for headroom; meanwhile proxies send requests by the tables that
   * they hold, not by the planned ones.
   */
  @ParameterizedTest
  @ValueSource(longs = {8, 10, 50, 143, 175})
  void appliesBudgetToTablesWaitingForHeadroom(long seed) {
    Fleet fleet =
        Fleet.create(
            new FleetSettings()
                .limitKind(AdmissionLimitKind.NONE)
                .bootstrapRoutes(5)
                .channel(6000, 6000)
                .ejectAfter(8)
                .build(),
            12,
            0);
    SplittableRandom random = new SplittableRandom(seed);
    for (int p = 0; p < 12; p++) {
      fleet.connect(p, p % 2, 2 + 4 * random.nextDouble(), true);
    }
    fleet.runRounds(10, 0.12, Map.of());
    fleet.updateEndpoint("entrant0", 0, READY, fleet.now);
    fleet.updateEndpoint("entrant1", 1, READY, fleet.now);
    fleet.runRounds(3, 0.12, Map.of());
    Map<String, Double> failureShares = new TreeMap<>();
    fleet.endpoints.keySet().stream()
        .filter(name -> name.startsWith("t"))
        .forEach(name -> failureShares.put(name, 0.95));
    fleet.trafficFactor = 4;
    double worstLoadShare = 0;
    for (int round = 0; round < 6; round++) {
      fleet.runRounds(1, 0.5, failureShares);
      double warmUpFraction =
          fleet.settings.slowStart().initialFraction()
              + (1 - fleet.settings.slowStart().initialFraction()) * (3 + round) / 10;
      for (int i = 0; round > 1 && i < 2; i++) {
        worstLoadShare =
            Math.max(
                worstLoadShare,
                fleet.trafficFactor
                    * rateWithFailingEndpointsEjected(fleet, "entrant" + i, failureShares)
                    / (fleet.settings.slowStart().overloadMultiple() * warmUpFraction / 0.12));
      }
    }
    assertTrue(
        worstLoadShare < 1.6,
        "possible load of a warming endpoint: expected less than 1.6 times the overload limit, found "
            + worstLoadShare
            + " times");
  }

  /**
   * Returns the requests per second at an endpoint while all proxies have ejected the failing ones.
   */
  private static double rateWithFailingEndpointsEjected(
      Fleet fleet, String endpoint, Map<String, Double> failureShares) {
    double all = 0;
    for (FleetProxy proxy : fleet.proxies.values()) {
      TreeMap<String, Double> shares = proxy.shares();
      double available =
          shares.entrySet().stream()
              .filter(e -> !failureShares.containsKey(e.getKey()))
              .mapToDouble(Map.Entry::getValue)
              .sum();
      all +=
          shares.containsKey(endpoint) ? proxy.requestRate * shares.get(endpoint) / available : 0;
    }
    return all;
  }

  /**
   * Each of several instances has a part of a warming endpoint's budget. It must suffice for one
   * route.
   */
  @Test
  void usesWarmingEndpointsWhileProxiesEjectLittle() {
    Fleet fleet = Fleet.create(new FleetSettings().instances(4).build(), 8, 4);
    fleet.runRounds(10, 0.04, Map.of());
    Map<String, Double> failureShares = new TreeMap<>();
    fleet.endpoints.keySet().forEach(name -> failureShares.put(name, 0.22));
    for (int i = 0; i < 8; i++) {
      fleet.updateEndpoint("entrant" + i, i % 2, READY, fleet.now);
    }
    fleet.runRounds(5, 0.04, failureShares);
    assertTrue(
        fleet.endpoints.keySet().stream()
            .anyMatch(name -> name.startsWith("entrant") && fleet.load(name) > 0),
        "at least one new endpoint must get requests");
  }
}
