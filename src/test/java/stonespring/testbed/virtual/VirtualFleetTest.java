package stonespring.testbed.virtual;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import stonespring.recording.Recording;

/** Plays generated loads through the real engine host and routing in virtual time. */
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
   * On every kind of load the solver serves more than equal weights with fewer connections, and no
   * endpoint fails while it warms up.
   */
  @ParameterizedTest
  @EnumSource(LoadGenerator.Kind.class)
  void solverServesMoreThanEqualWeights(LoadGenerator.Kind kind) {
    double[] service = new double[2];
    long[] connections = new long[2];
    for (int seed = 1; seed <= 3; seed++) {
      Recording load = LoadGenerator.generate(kind, seed, 24, 24);
      for (Policy policy : List.of(Policy.EVEN, Policy.SOLVER)) {
        ReplayResult result = new VirtualFleet(load, policy, seed).replay();
        int i = policy == Policy.EVEN ? 0 : 1;
        service[i] += result.service() / 3;
        connections[i] += result.attempts().connections();
        if (policy == Policy.SOLVER) {
          assertTrue(
              result.attempts().peakWarmUpLoad() < 1,
              "an endpoint warming up reached "
                  + result.attempts().peakWarmUpLoad()
                  + " of what makes it fail");
          assertEquals(0, result.routes().secondsWithoutRoutes(), 1e-9, "seconds without a route");
          assertTrue(result.routes().plans() > 20, result.routes().plans() + " plans");
        }
      }
    }
    assertTrue(
        service[1] > service[0],
        "service " + service[1] + " with the solver, " + service[0] + " with equal weights");
    assertTrue(connections[1] < connections[0], connections[1] + " connections, " + connections[0]);
  }

  @Test
  void policyComparedWithItselfShowsNoDifference() {
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
