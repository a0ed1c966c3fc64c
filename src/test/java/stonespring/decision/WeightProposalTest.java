package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.ProxyId;

/** Tests that the engine follows recent weights of the solver as far as its own limits allow. */
final class WeightProposalTest {
  private static final long SECOND = DeciMillis.SECOND;

  private static Fleet createFleet(int endpointCount, int proxyCount) {
    Fleet fleet = new Fleet(new FleetSettings().build());
    for (int i = 0; i < endpointCount; i++) {
      fleet.endpoints.put("t" + i, Fleet.endpointRecord("t" + i, 0, Fleet.READY, 0));
    }
    fleet.startEngine(7);
    for (int p = 0; p < proxyCount; p++) {
      fleet.connect(p, 0, 10, true);
    }
    fleet.step(1);
    return fleet;
  }

  private static Event.WeightsProposed proposed(int proxy, Map<String, Double> weights) {
    List<Event.WeightsProposed.Share> routes = new ArrayList<>();
    weights.forEach(
        (endpoint, weight) ->
            routes.add(new Event.WeightsProposed.Share(new EndpointId(endpoint), weight)));
    return new Event.WeightsProposed(new ProxyId(proxy), routes);
  }

  private static void round(Fleet fleet, Map<String, Double> failureShares) {
    fleet.report(0.04, failureShares);
    fleet.step(SECOND);
    fleet.acknowledgeAll();
    fleet.checkInvariants("at " + fleet.now);
  }

  private static double weight(Fleet fleet, int proxy, String endpoint) {
    return fleet.shares(proxy).getOrDefault(endpoint, 0.0);
  }

  @Test
  void followsFreshProposalsAndIgnoresOldOnes() {
    Fleet fleet = createFleet(6, 8);
    for (int i = 0; i < 10; i++) {
      round(fleet, Map.of());
    }
    String lastEndpoint = fleet.shares(0).lastKey();
    double weightBefore = weight(fleet, 0, lastEndpoint);
    for (int i = 0; i < 10; i++) {
      fleet.events.add(proposed(0, Map.of(lastEndpoint, 0.7, fleet.shares(0).firstKey(), 0.3)));
      round(fleet, Map.of());
    }
    double weightWithProposals = weight(fleet, 0, lastEndpoint);
    assertTrue(
        weightBefore < 0.4 && weightWithProposals > 0.5,
        "expected a weight below 0.4 before the proposals and above 0.5 with them, found "
            + weightBefore
            + " and "
            + weightWithProposals);
    // Other instances load that endpoint now. Without new proposals, the engine's own weights
    // return.
    fleet.otherInstancesLoad.put(lastEndpoint, 20.0);
    for (int i = 0; i < 30; i++) {
      round(fleet, Map.of());
    }
    assertTrue(
        weight(fleet, 0, lastEndpoint) < 0.6 * weightWithProposals,
        "weight without new proposals: expected less than 0.6 times "
            + weightWithProposals
            + ", found "
            + weight(fleet, 0, lastEndpoint));
  }

  @Test
  void replacesUnproposedRouteByMostProposedEndpoint() {
    Fleet fleet = createFleet(12, 8);
    for (int i = 0; i < 10; i++) {
      round(fleet, Map.of());
    }
    String proposedEndpoint =
        fleet.endpoints.keySet().stream()
            .filter(name -> weight(fleet, 0, name) == 0)
            .findFirst()
            .orElseThrow();
    int routes = fleet.shares(0).size();
    String keptEndpoint = fleet.shares(0).firstKey();
    for (int i = 0; i < 15; i++) {
      fleet.events.add(proposed(0, Map.of(proposedEndpoint, 0.5, keptEndpoint, 0.5)));
      round(fleet, Map.of());
    }
    assertTrue(
        weight(fleet, 0, proposedEndpoint) > 0.05,
        "weight of the proposed endpoint: expected more than 0.05, found "
            + weight(fleet, 0, proposedEndpoint));
    assertTrue(
        fleet.shares(0).size() <= routes + 1,
        "one route is replaced, and both stay until the new one has headroom: "
            + fleet.shares(0).size()
            + " routes, "
            + routes
            + " before");
  }

  /** Attempts at the endpoint fail, so that its proposed weight must not count. */
  @Test
  void ignoresProposalsForFailingEndpoints() {
    Fleet fleet = createFleet(6, 8);
    for (int i = 0; i < 10; i++) {
      round(fleet, Map.of());
    }
    String failingEndpoint = fleet.shares(0).firstKey();
    double weightBefore = weight(fleet, 0, failingEndpoint);
    for (int i = 0; i < 10; i++) {
      for (int p = 0; p < 8; p++) {
        fleet.events.add(proposed(p, Map.of(failingEndpoint, 1.0)));
      }
      round(fleet, Map.of(failingEndpoint, 0.5));
    }
    assertTrue(
        weight(fleet, 0, failingEndpoint) <= weightBefore,
        "weight of the failing endpoint: expected at most "
            + weightBefore
            + ", found "
            + weight(fleet, 0, failingEndpoint));
  }

  /** The proposal for every proxy is a single route, to an endpoint that warms up. */
  @Test
  void doesNotOverloadWarmingEndpointThatIsProposed() {
    Fleet fleet = createFleet(6, 8);
    for (int i = 0; i < 10; i++) {
      round(fleet, Map.of());
    }
    fleet.updateEndpoint("entrant", 0, Fleet.READY, fleet.now);
    for (int i = 0; i < 9; i++) {
      for (int p = 0; p < 8; p++) {
        fleet.events.add(proposed(p, Map.of("entrant", 1.0)));
      }
      round(fleet, Map.of());
      double capacity = (0.2 + 0.8 * (i + 1) / 10) / 0.04;
      assertTrue(
          fleet.load("entrant") <= 1.3 * capacity,
          "round "
              + i
              + ": expected a load of at most 1.3 times the capacity of "
              + capacity
              + ", found "
              + fleet.load("entrant"));
    }
  }

  /**
   * Proposals are random, some for unknown proxies and endpoints, while endpoints enter and leave.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void keepsInvariantsUnderRandomProposals(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Fleet fleet = createFleet(10, 10);
    for (int i = 0; i < 80; i++) {
      for (int p = 0; p < 10; p++) {
        if (random.nextInt(3) == 0) {
          fleet.events.add(
              proposed(
                  random.nextInt(12),
                  Map.of(
                      "t" + (3 + random.nextInt(11)),
                      random.nextDouble() * 9,
                      "t" + random.nextInt(3),
                      random.nextInt(2) * 1e-9,
                      "unknown",
                      1.0)));
        }
      }
      String endpoint = "t" + (3 + random.nextInt(9));
      if (random.nextInt(6) == 0) {
        fleet.updateEndpoint(endpoint, 0, Fleet.READY, fleet.now);
      } else if (random.nextInt(6) == 0 && fleet.endpoints.size() > 5) {
        fleet.updateEndpoint(
            endpoint,
            0,
            random.nextBoolean() ? EndpointRecord.State.DRAINING : EndpointRecord.State.REMOVED,
            0);
      }
      round(fleet, Map.of());
      for (String name : fleet.endpoints.keySet()) {
        EndpointRecord record = fleet.endpoints.get(name);
        double warmUpFraction =
            record.startedAt() == 0
                ? 1
                : Math.min(1, 0.2 + 0.8 * (fleet.now - record.startedAt()) / (10.0 * SECOND));
        assertTrue(
            warmUpFraction >= 1 || fleet.load(name) <= 3 * warmUpFraction / 0.04,
            "load of "
                + name
                + " at warm-up fraction "
                + warmUpFraction
                + ": expected at most "
                + 3 * warmUpFraction / 0.04
                + ", found "
                + fleet.load(name));
      }
    }
  }
}
