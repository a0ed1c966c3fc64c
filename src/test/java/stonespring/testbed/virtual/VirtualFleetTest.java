package stonespring.testbed.virtual;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import stonespring.recording.Recording;

/** Recorded loads through the real instance and routing in virtual time. */
final class VirtualFleetTest {
  @BeforeAll
  static void quiet() {
    ((ch.qos.logback.classic.Logger) org.slf4j.LoggerFactory.getLogger("stonespring"))
        .setLevel(ch.qos.logback.classic.Level.WARN);
  }

  @Test
  void theSameLoadPolicyAndSeedGiveTheSameDay() {
    Recording load = Loads.draw(Loads.Kind.DEPLOY, 2, 12, 9);
    for (Policy policy : Policy.values()) {
      assertEquals(
          new VirtualFleet(load, policy, 4).play(), new VirtualFleet(load, policy, 4).play());
    }
  }

  /**
   * On every kind of load the solver serves more than even tables with fewer connections, and no
   * cold task falls.
   */
  @ParameterizedTest
  @EnumSource(Loads.Kind.class)
  void theSolverBeatsEvenTables(Loads.Kind kind) {
    double[] service = new double[2];
    long[] connections = new long[2];
    for (int seed = 1; seed <= 3; seed++) {
      Recording load = Loads.draw(kind, seed, 24, 24);
      for (Policy policy : List.of(Policy.EVEN, Policy.SOLVER)) {
        Played played = new VirtualFleet(load, policy, seed).play();
        int i = policy == Policy.EVEN ? 0 : 1;
        service[i] += played.service() / 3;
        connections[i] += played.connections();
        if (policy == Policy.SOLVER) {
          assertTrue(
              played.coldWorst() < 1,
              "a cold task reached " + played.coldWorst() + " of what fells it");
          assertEquals(0, played.bare(), 1e-9, "seconds without a line");
          assertTrue(played.plans() > 20, played.plans() + " plans");
        }
      }
    }
    assertTrue(
        service[1] > service[0],
        "service " + service[1] + " with the solver, " + service[0] + " with even tables");
    assertTrue(connections[1] < connections[0], connections[1] + " connections, " + connections[0]);
  }

  @Test
  void aComparisonOfAPolicyWithItselfIsNothing() {
    List<Comparison.Row> rows =
        Comparison.of(
            List.of(Loads.draw(Loads.Kind.SURGE, 1, 12, 9)),
            List.of(Policy.MODULE, Policy.MODULE),
            2);
    assertEquals(rows.get(0).service(), rows.get(1).service());
    assertEquals(new Comparison.Bar(0, 0, 0), rows.get(1).against());
    assertTrue(
        rows.get(0).service().low() < rows.get(0).service().mean()
            && rows.get(0).service().mean() < rows.get(0).service().high());
  }
}
