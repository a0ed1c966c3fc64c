package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.ProxyId;

/**
 * What the module does with proposals of weights: it heeds fresh and sound ones, and its guards
 * have the last word.
 */
final class ProposalTest {
  private static final long SECOND = DeciMillis.SECOND;

  private static Fleet fleet(int tasks, int proxies) {
    Fleet f = new Fleet(Fleet.settings(1, AdmissionLimitKind.FRACTION, 30, 4));
    for (int i = 0; i < tasks; i++) {
      f.list.put("t" + i, Fleet.listing("t" + i, 0, Fleet.READY, 0));
    }
    f.start(7);
    for (int p = 0; p < proxies; p++) {
      f.join(p, 0, 10, true);
    }
    f.step(1);
    return f;
  }

  private static Event.WeightsProposed proposed(int proxy, Map<String, Double> weights) {
    List<Event.WeightsProposed.Share> lines = new ArrayList<>();
    weights.forEach(
        (task, weight) -> lines.add(new Event.WeightsProposed.Share(new EndpointId(task), weight)));
    return new Event.WeightsProposed(new ProxyId(proxy), lines);
  }

  private static void turn(Fleet f, Map<String, Double> bad) {
    f.sums(0.04, bad);
    f.step(SECOND);
    f.due.addAll(f.answers);
    f.answers.clear();
    f.checkRules("at " + f.now);
  }

  private static double weight(Fleet f, int proxy, String task) {
    return f.lines(f.proxies.get(proxy)).getOrDefault(task, 0.0);
  }

  @Test
  void freshProposalsAreFollowedAndOldOnesLoseTheirForce() {
    Fleet f = fleet(6, 8);
    for (int i = 0; i < 10; i++) {
      turn(f, Map.of());
    }
    String most = f.lines(f.proxies.get(0)).lastKey();
    double before = weight(f, 0, most);
    for (int i = 0; i < 10; i++) {
      f.due.add(proposed(0, Map.of(most, 0.7, f.lines(f.proxies.get(0)).firstKey(), 0.3)));
      turn(f, Map.of());
    }
    double followed = weight(f, 0, most);
    assertTrue(before < 0.4 && followed > 0.5, before + " before, then " + followed);
    // Now others load that task: with no proposal since, the module's own weights come back.
    f.othersLoad.put(most, 20.0);
    for (int i = 0; i < 30; i++) {
      turn(f, Map.of());
    }
    assertTrue(
        weight(f, 0, most) < 0.6 * followed, "from " + followed + " to " + weight(f, 0, most));
  }

  @Test
  void aLineThatNoProposalWantsIsSwappedForTheOneItWantsMost() {
    Fleet f = fleet(12, 8);
    for (int i = 0; i < 10; i++) {
      turn(f, Map.of());
    }
    String fresh =
        f.list.keySet().stream().filter(t -> weight(f, 0, t) == 0).findFirst().orElseThrow();
    int lines = f.lines(f.proxies.get(0)).size();
    String kept = f.lines(f.proxies.get(0)).firstKey();
    for (int i = 0; i < 15; i++) {
      f.due.add(proposed(0, Map.of(fresh, 0.5, kept, 0.5)));
      turn(f, Map.of());
    }
    assertTrue(weight(f, 0, fresh) > 0.05, "no more than its headroom: " + weight(f, 0, fresh));
    assertTrue(
        f.lines(f.proxies.get(0)).size() <= lines + 1,
        "one goes for it; both stand while it has no room");
  }

  /**
   * Solver and module disagree: tries to the task fail, so its proposal is left out, whatever its
   * weight.
   */
  @Test
  void aTaskThatFailsIsNotHeeded() {
    Fleet f = fleet(6, 8);
    for (int i = 0; i < 10; i++) {
      turn(f, Map.of());
    }
    String failing = f.lines(f.proxies.get(0)).firstKey();
    double before = weight(f, 0, failing);
    for (int i = 0; i < 10; i++) {
      for (int p = 0; p < 8; p++) {
        f.due.add(proposed(p, Map.of(failing, 1.0)));
      }
      turn(f, Map.of(failing, 0.5));
    }
    assertTrue(weight(f, 0, failing) <= before, "from " + before + " to " + weight(f, 0, failing));
  }

  /** All proxies are told to send all they have to one cold task. */
  @Test
  void aColdTaskIsNotPushedOverWhateverIsProposed() {
    Fleet f = fleet(6, 8);
    for (int i = 0; i < 10; i++) {
      turn(f, Map.of());
    }
    f.listed("cold", 0, Fleet.READY, f.now);
    for (int i = 0; i < 9; i++) {
      for (int p = 0; p < 8; p++) {
        f.due.add(proposed(p, Map.of("cold", 1.0)));
      }
      turn(f, Map.of());
      double sure = (0.2 + 0.8 * (i + 1) / 10) / 0.04;
      assertTrue(f.load("cold") <= 1.3 * sure, "turn " + i + ": " + f.load("cold") + " of " + sure);
    }
  }

  /**
   * Proposals without sense, while tasks come and go: the rules are checked after every step,
   * nobody is starved.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void senselessProposalsBreakNoRule(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Fleet f = fleet(10, 10);
    for (int i = 0; i < 80; i++) {
      for (int p = 0; p < 10; p++) {
        if (random.nextInt(3) == 0) {
          f.due.add(
              proposed(
                  random.nextInt(12),
                  Map.of(
                      "t" + (3 + random.nextInt(11)),
                      random.nextDouble() * 9,
                      "t" + random.nextInt(3),
                      random.nextInt(2) * 1e-9,
                      "nobody",
                      1.0)));
        }
      }
      String task = "t" + (3 + random.nextInt(9));
      if (random.nextInt(6) == 0) {
        f.listed(task, 0, Fleet.READY, f.now);
      } else if (random.nextInt(6) == 0 && f.list.size() > 5) {
        f.listed(
            task,
            0,
            random.nextBoolean() ? EndpointRecord.State.DRAINING : EndpointRecord.State.REMOVED,
            0);
      }
      turn(f, Map.of());
      for (String each : f.list.keySet()) {
        EndpointRecord l = f.list.get(each);
        double warmth =
            l.startedAt() == 0
                ? 1
                : Math.min(1, 0.2 + 0.8 * (f.now - l.startedAt()) / (10.0 * SECOND));
        assertTrue(
            warmth >= 1 || f.load(each) <= 3 * warmth / 0.04,
            each + " gets " + f.load(each) + " at warmth " + warmth);
      }
    }
  }
}
