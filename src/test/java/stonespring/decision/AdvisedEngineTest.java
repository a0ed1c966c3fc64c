package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointRecord;

/** Tests the engine together with the weight solver, whose proposals it receives. */
final class AdvisedEngineTest {
  private static final long SECOND = DeciMillis.SECOND;

  /** Utilization of an endpoint per request per second at the usual cost. */
  private static final double UTILIZATION_PER_REQUEST_RATE = 0.04;

  private static Fleet createFleet(
      boolean withSolver, long seed, int endpointCount, int proxyCount, int instances) {
    Fleet fleet = new Fleet(new FleetSettings().instances(instances).build());
    fleet.withSolver = withSolver;
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < endpointCount; i++) {
      fleet.endpoints.put("t" + i, Fleet.endpointRecord("t" + i, i % 2, Fleet.READY, 0));
      fleet.relativeCost.put("t" + i, 0.5 + random.nextDouble() * 1.5);
    }
    fleet.startEngine(seed);
    for (int p = 0; p < proxyCount; p++) {
      fleet.connect(p, p % 2, Math.min(60, 5 * Math.pow(1 - random.nextDouble(), -0.6)), true);
    }
    fleet.step(1);
    return fleet;
  }

  /** Runs one round, which lasts a second, and checks the invariants. */
  private static void runRound(Fleet fleet, Map<String, Double> failureShares) {
    fleet.report(UTILIZATION_PER_REQUEST_RATE, failureShares);
    fleet.step(SECOND);
    fleet.acknowledgeAll();
    fleet.checkInvariants("at " + fleet.now);
  }

  /**
   * Requests per second that are lost because answers are late, assumed to grow with the seventh
   * power of the endpoints' utilization.
   */
  private static double lostRate(Fleet fleet) {
    return fleet.endpoints.keySet().stream()
        .mapToDouble(
            name ->
                Math.pow(
                        fleet.load(name)
                            * UTILIZATION_PER_REQUEST_RATE
                            * fleet.relativeCost.get(name),
                        7)
                    / (UTILIZATION_PER_REQUEST_RATE * fleet.relativeCost.get(name))
                    / 7)
        .sum();
  }

  /**
   * The endpoints have equal listed weights, but some can serve four times as much as others. With
   * the solver, fewer requests are lost to late answers, summed over six seeds.
   */
  @Test
  void solverDistributesLoadByEndpointCapacity() {
    double[] losses = new double[2];
    for (int seed = 1; seed <= 6; seed++) {
      for (int withSolver = 0; withSolver < 2; withSolver++) {
        Fleet fleet = createFleet(withSolver == 1, seed, 16, 16, 1);
        for (int i = 0; i < 60; i++) {
          runRound(fleet, Map.of());
          losses[withSolver] += i >= 40 ? lostRate(fleet) / 20 : 0;
        }
      }
    }
    assertTrue(
        losses[1] < 0.9 * losses[0],
        "lost requests per second with the solver "
            + losses[1]
            + ", expected below 0.9 of those without, "
            + losses[0]);
  }

  /** Applies failures of many kinds in random order, with one instance and with two. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void invariantsHoldInRandomRunsWithTheSolver(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Fleet fleet = createFleet(true, seed, 12, 8, seed % 2 == 0 ? 1 : 2);
    TreeMap<String, Double> failureShares = new TreeMap<>();
    for (int i = 0; i < 100; i++) {
      String endpoint = "t" + random.nextInt(14);
      int kind = random.nextInt(12);
      if (kind == 0) {
        fleet.updateEndpoint(endpoint, random.nextInt(2), Fleet.READY, fleet.now);
      } else if (kind == 1 && fleet.endpoints.size() > 6) {
        fleet.updateEndpoint(
            endpoint,
            0,
            random.nextBoolean() ? EndpointRecord.State.DRAINING : EndpointRecord.State.REMOVED,
            0);
      } else if (kind == 2) {
        failureShares.put(endpoint, random.nextDouble());
      } else if (kind == 3) {
        failureShares.clear();
      } else if (kind == 4) {
        fleet.trafficFactor = 0.5 + 2 * random.nextDouble();
      } else if (kind == 5) {
        fleet.relativeCost.put(endpoint, 0.3 + 3 * random.nextDouble());
      } else if (kind == 6 && fleet.proxies.get(i % 8).connected) {
        fleet.disconnect(i % 8);
      } else if (kind == 7 && !fleet.proxies.get(i % 8).connected) {
        fleet.connect(i % 8, 0, 5, random.nextBoolean());
      } else if (kind == 8) {
        fleet.step(3 * SECOND); // the reports of three seconds are missing
      }
      runRound(fleet, failureShares);
      for (EndpointRecord record : fleet.endpoints.values()) {
        double warmUpFraction =
            record.startedAt() == 0
                ? 1
                : Math.min(1, 0.2 + 0.8 * (fleet.now - record.startedAt()) / (10.0 * SECOND));
        double load = fleet.load(record.endpoint().name()) * fleet.meanLimit();
        assertTrue(
            warmUpFraction >= 1 || load <= 3 * warmUpFraction / UTILIZATION_PER_REQUEST_RATE,
            record.endpoint()
                + " gets "
                + load
                + " requests per second at warm-up fraction "
                + warmUpFraction);
      }
    }
  }

  @Test
  void equalEventsGiveEqualCommands() {
    Fleet first = createFleet(true, 3, 16, 16, 1);
    Fleet second = createFleet(true, 3, 16, 16, 1);
    for (int i = 0; i < 25; i++) {
      runRound(first, Map.of("t1", 0.2));
      runRound(second, Map.of("t1", 0.2));
      assertTrue(
          first.commands.equals(second.commands),
          "round " + i + ": equal events must give equal commands");
    }
  }
}
