package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointRecord;

/** The module with the solver beside it, seeded; the rules are checked after every step. */
final class AdvisedEngineTest {
  private static final long SECOND = DeciMillis.SECOND;
  private static final double BUSY = 0.04; // busy share for an op a second; a task can do 25

  private static Fleet fleet(boolean advised, long seed, int tasks, int proxies, int assigners) {
    Fleet f = new Fleet(Fleet.settings(assigners, AdmissionLimitKind.FRACTION, 30, 4));
    f.advised = advised;
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < tasks; i++) {
      f.list.put("t" + i, Fleet.listing("t" + i, i % 2, Fleet.READY, 0));
      f.cost.put("t" + i, 0.5 + random.nextDouble() * 1.5);
    }
    f.start(seed);
    for (int p = 0; p < proxies; p++) {
      f.join(p, p % 2, Math.min(60, 5 * Math.pow(1 - random.nextDouble(), -0.6)), true);
    }
    f.step(1);
    return f;
  }

  private static void turn(Fleet f, Map<String, Double> bad) {
    f.sums(BUSY, bad);
    f.step(SECOND);
    f.due.addAll(f.answers);
    f.answers.clear();
    f.checkRules("at " + f.now);
  }

  /** Ops lost to lateness, the seventh power of fills. */
  private static double loss(Fleet f) {
    return f.list.keySet().stream()
        .mapToDouble(
            t -> Math.pow(f.load(t) * BUSY * f.cost.get(t), 7) / (BUSY * f.cost.get(t)) / 7)
        .sum();
  }

  /**
   * Tasks listed alike of which some can do four times as much: with the solver less is lost to
   * lateness, over six seeds.
   */
  @Test
  void unlikeTasksAreLoadedByWhatTheyCanDo() {
    double[] lost = new double[2];
    for (int seed = 1; seed <= 6; seed++) {
      for (int advised = 0; advised < 2; advised++) {
        Fleet f = fleet(advised == 1, seed, 16, 16, 1);
        for (int i = 0; i < 60; i++) {
          turn(f, Map.of());
          lost[advised] += i >= 40 ? loss(f) / 20 : 0;
        }
      }
    }
    assertTrue(lost[1] < 0.9 * lost[0], "with the solver " + lost[1] + ", alone " + lost[0]);
  }

  /** Troubles of many kinds, in any order, with one instance and with a part of the proxies. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void noRuleBreaksUnderTroubleWithTheSolver(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Fleet f = fleet(true, seed, 12, 8, seed % 2 == 0 ? 1 : 2);
    TreeMap<String, Double> bad = new TreeMap<>();
    for (int i = 0; i < 100; i++) {
      String task = "t" + random.nextInt(14);
      int kind = random.nextInt(12);
      if (kind == 0) {
        f.listed(task, random.nextInt(2), Fleet.READY, f.now);
      } else if (kind == 1 && f.list.size() > 6) {
        f.listed(
            task,
            0,
            random.nextBoolean() ? EndpointRecord.State.DRAINING : EndpointRecord.State.REMOVED,
            0);
      } else if (kind == 2) {
        bad.put(task, random.nextDouble());
      } else if (kind == 3) {
        bad.clear();
      } else if (kind == 4) {
        f.surge = 0.5 + 2 * random.nextDouble();
      } else if (kind == 5) {
        f.cost.put(task, 0.3 + 3 * random.nextDouble());
      } else if (kind == 6 && f.proxies.get(i % 8).joined) {
        f.leave(i % 8);
      } else if (kind == 7 && !f.proxies.get(i % 8).joined) {
        f.join(i % 8, 0, 5, random.nextBoolean());
      } else if (kind == 8) {
        f.step(3 * SECOND); // sums fail to come
      }
      turn(f, bad);
      for (EndpointRecord l : f.list.values()) {
        double warmth =
            l.startedAt() == 0
                ? 1
                : Math.min(1, 0.2 + 0.8 * (f.now - l.startedAt()) / (10.0 * SECOND));
        double load = f.load(l.endpoint().name()) * f.meanLevel();
        assertTrue(
            warmth >= 1 || load <= 3 * warmth / BUSY,
            l.endpoint() + " gets " + load + " at warmth " + warmth);
      }
    }
  }

  /** The same events give the same orders, solver and all. */
  @Test
  void theSameEventsGiveTheSameOrders() {
    Fleet one = fleet(true, 3, 16, 16, 1);
    Fleet two = fleet(true, 3, 16, 16, 1);
    for (int i = 0; i < 25; i++) {
      turn(one, Map.of("t1", 0.2));
      turn(two, Map.of("t1", 0.2));
      assertTrue(one.last.equals(two.last), "turn " + i);
    }
  }
}
