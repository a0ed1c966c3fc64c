package stonespring.testbed.virtual;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import stonespring.recording.Recording;

/** Replays generated loads through the production engine host and routing in virtual time. */
final class VirtualFleetTest {
  @BeforeAll
  static void logWarningsOnly() {
    ((ch.qos.logback.classic.Logger) org.slf4j.LoggerFactory.getLogger("stonespring"))
        .setLevel(ch.qos.logback.classic.Level.WARN);
  }

  @Test
  void equalLoadPolicyAndSeedGiveEqualResults() {
    Recording load = LoadGenerator.generate(LoadGenerator.Kind.DEPLOY, 2, 12, 9);
    for (Policy policy : Policy.values()) {
      assertEquals(
          new VirtualFleet(load, policy, 4).replay(), new VirtualFleet(load, policy, 4).replay());
    }
  }

  /**
   * On every kind of load the solver gives a higher service than equal weights with fewer
   * connections, no endpoint fails during warm-up, and no proxy is without a route.
   */
  @ParameterizedTest
  @EnumSource(LoadGenerator.Kind.class)
  void solverGivesHigherServiceThanEqualWeightsWithFewerConnections(LoadGenerator.Kind kind) {
    double[] service = new double[2];
    long[] connections = new long[2];
    for (int seed = 1; seed <= 3; seed++) {
      Recording load = LoadGenerator.generate(kind, seed, 24, 24);
      for (Policy policy : List.of(Policy.EVEN, Policy.SOLVER)) {
        ReplayResult result = new VirtualFleet(load, policy, seed).replay();
        int index = policy == Policy.EVEN ? 0 : 1;
        service[index] += result.service() / 3;
        connections[index] += result.attempts().connections();
        if (policy == Policy.SOLVER) {
          assertTrue(
              result.attempts().peakWarmUpLoad() < 1,
              "load of a warming-up endpoint: expected less than its overload limit, found "
                  + result.attempts().peakWarmUpLoad()
                  + " times the limit");
          assertEquals(
              0,
              result.routes().secondsWithoutRoutes(),
              1e-9,
              "seconds without a route, summed over proxies");
          assertTrue(
              result.routes().plans() > 20,
              "expected more than 20 plans, found " + result.routes().plans());
        }
      }
    }
    assertTrue(
        service[1] > service[0],
        "service " + service[1] + " with the solver, " + service[0] + " with equal weights");
    assertTrue(
        connections[1] < connections[0],
        connections[1] + " connections with the solver, " + connections[0] + " with equal weights");
  }

  @Test
  void comparisonOfPolicyWithItselfShowsNoDifference() {
    List<ComparisonRow> rows =
        Comparison.run(
            List.of(LoadGenerator.generate(LoadGenerator.Kind.SURGE, 1, 12, 9)),
            List.of(Policy.MODULE, Policy.MODULE),
            2);
    assertEquals(rows.get(0).service(), rows.get(1).service());
    assertEquals(new ConfidenceInterval(0, 0, 0), rows.get(1).difference());
    assertTrue(
        rows.get(0).service().low() < rows.get(0).service().mean()
            && rows.get(0).service().mean() < rows.get(0).service().high());
  }
}
