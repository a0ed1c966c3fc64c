package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.Command;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.LoadReport;
import stonespring.model.ProxyId;
import stonespring.model.RequestClass;
import stonespring.model.RequestClassId;
import stonespring.model.RetrySafety;
import stonespring.model.Settings;
import stonespring.model.ZoneId;

/**
 * Many proxies with an op or two a second each: what is believed of their load, and of the tasks
 * that take it.
 */
final class SmallProxiesTest {
  private static final long SECOND = DeciMillis.SECOND;
  private static final int PROXIES = 120;
  private static final int TASKS = 12;
  private static final int TYPES = 3;
  private static final double OPS = 0.6; // a second, of a proxy and op type

  private final SplittableRandom random = new SplittableRandom(5);
  private final long[][] toldUntil = new long[PROXIES][TYPES];
  private final List<Double> levels = new ArrayList<>();
  private AssignmentEngine assigner;
  private long now = 100 * SECOND;

  private void start(int assigners) {
    assigner =
        new AssignmentEngine(
            new Settings(
                new Settings.Fleet(assigners, 1, PROXIES, false),
                List.of(
                    new RequestClass(RetrySafety.IDEMPOTENT, SECOND / 2, 1),
                    new RequestClass(RetrySafety.IDEMPOTENCY_KEYED, SECOND, 1),
                    new RequestClass(RetrySafety.NON_IDEMPOTENT, SECOND, 1)),
                new Settings.EndpointListRules(false, false),
                AdmissionLimitKind.FRACTION,
                new Settings.ChannelLimits(6000, 10, 0, 10 * SECOND, 3000, false),
                new Settings.RoutingRules(5 * SECOND, 5, 0, 0.1, 3),
                new Settings.SlowStart(10 * SECOND, 0.2, 3),
                SECOND),
            7,
            now);
    List<EndpointRecord> list = new ArrayList<>();
    for (int i = 0; i < TASKS; i++) {
      list.add(Fleet.listing("t" + i, 0, EndpointRecord.State.READY, 0));
    }
    assigner.handle(now, new Event.EndpointListUpdate(Event.ListUpdateKind.SNAPSHOT, list));
    finish();
  }

  private void finish() {
    for (Command order : assigner.endBatch(now)) {
      if (order instanceof Command.LimitAdmission a) {
        levels.add(a.limit());
      }
    }
  }

  private void join(int proxy, boolean fresh) {
    assigner.handle(
        now, new Event.ProxyConnected(new ProxyId(proxy), new ZoneId(0), OPS * TYPES, fresh));
    java.util.Arrays.fill(toldUntil[proxy], now);
  }

  private int poisson(double mean) {
    int count = 0;
    for (double left = Math.exp(-mean), at = random.nextDouble();
        at > left;
        at *= random.nextDouble()) {
      count++;
    }
    return count;
  }

  /**
   * A period's reports: what had no op sends no line, and the next line counts over all the time
   * since.
   */
  private void reports(int from, int to, double busy) {
    for (int p = from; p < to; p++) {
      for (int k = 0; k < TYPES; k++) {
        int ops = poisson(OPS);
        if (ops > 0) {
          assigner.handle(
              now,
              new Event.ProxyRequestRate(
                  new ProxyId(p), new RequestClassId(k), ops, 0, now - toldUntil[p][k]));
          toldUntil[p][k] = now;
        }
      }
    }
    tries((to - from) * OPS * TYPES, busy);
  }

  private void tries(double perSecond, double busy) {
    tries(perSecond, busy, 0);
  }

  private void tries(double perSecond, double busy, double badShare) {
    for (int i = 0; i < TASKS; i++) {
      long tries = Math.round(perSecond / TASKS);
      if (tries > 0) {
        assigner.handle(
            now,
            new Event.EndpointOutcomes(
                new EndpointId("t" + i),
                new ZoneId(0),
                tries,
                Math.round(tries * badShare),
                SECOND,
                SECOND / 10,
                new LoadReport(busy, Double.NaN, Double.NaN, Double.NaN, Double.NaN)));
      }
    }
  }

  /**
   * Tasks that were busy for 72 in 100 had ops rejected: a proxy's last line alone, which comes
   * right after an op, made 216 ops a second look like 300.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void opsOfSmallProxiesAreRightInTheMean(int assigners) {
    start(assigners);
    int mine = PROXIES / assigners;
    for (int p = 0; p < mine; p++) {
      join(p, true);
    }
    finish();
    for (int turn = 0; turn < 40; turn++) {
      now += SECOND;
      reports(0, mine, 0.72);
      finish();
    }
    assertEquals(
        1, levels.stream().min(Double::compare).orElse(1.0), "nothing is rejected: " + levels);
  }

  /**
   * Restarted, while proxies came one after another: the first sums held the tries of the few that
   * were first, tasks seemed able to do no more than those, and all ops but a tenth were rejected.
   */
  @Test
  void aStartAmongManyThatJoinRejectsNothing() {
    start(2);
    int here = 0;
    double shown = 0;
    for (int tenth = 1; tenth <= 80; tenth++) {
      now += SECOND / 10;
      if (here < PROXIES / 2) {
        join(here++, false);
      }
      if (tenth % 10 == 0) {
        tries(shown, 0.5);
        shown = here * OPS * TYPES * 0.9; // of those that were here a second ago
      }
      finish();
    }
    assertTrue(here == PROXIES / 2);
    assertEquals(
        1, levels.stream().min(Double::compare).orElse(1.0), "nothing is rejected: " + levels);
  }

  /**
   * Half were away for long, and tasks got slow meanwhile: that they bring too much is known before
   * lines tell.
   */
  @Test
  void whoComesBackBringsWhatItBrought() {
    start(1);
    for (int p = 0; p < PROXIES; p++) {
      join(p, true);
    }
    for (int turn = 0; turn < 10; turn++) {
      now += SECOND;
      reports(0, PROXIES, 0.6);
      finish();
    }
    for (int p = 0; p < PROXIES / 2; p++) {
      assigner.handle(now, new Event.ProxyDisconnected(new ProxyId(p)));
    }
    for (int turn = 0; turn < 120; turn++) {
      now += SECOND;
      reports(PROXIES / 2, PROXIES, 0.6);
      finish();
    }
    assertEquals(1, levels.stream().min(Double::compare).orElse(1.0), "half of them fit");
    for (int p = 0; p < PROXIES / 2; p++) {
      join(p, false);
    }
    now += SECOND;
    reports(PROXIES / 2, PROXIES, 0.6);
    finish();
    assertTrue(
        levels.stream().min(Double::compare).orElse(1.0) < 1, "all of them don't: " + levels);
  }

  private double leastLevel(boolean late) {
    levels.clear();
    start(1);
    for (int p = 0; p < PROXIES; p++) {
      join(p, true);
    }
    for (int turn = 0; turn < 15; turn++) {
      now += SECOND;
      reports(0, PROXIES, 0.6);
      finish();
    }
    now += late ? 4 * SECOND : 0;
    for (int turn = 0; turn < 4; turn++) {
      now += SECOND;
      tries(PROXIES * OPS * TYPES, 0.6, 0.4);
      finish();
    }
    return levels.stream().min(Double::compare).orElse(1.0);
  }

  /**
   * Tasks that say that they have time, and tries in vain: a cut halves, for what they say may be
   * false. While sums come late the jam that they tell of was over before the cut, and a quarter of
   * all ops were rejected for eight seconds.
   */
  @Test
  void aCutInDoubtGoesLessDeepWhileSumsComeLate() {
    double usual = leastLevel(false);
    double late = leastLevel(true);
    assertTrue(usual < 0.5, "usual " + usual);
    assertTrue(late > 0.65, "usual " + usual + ", late " + late);
  }
}
