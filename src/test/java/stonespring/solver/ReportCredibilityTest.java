package stonespring.solver;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;

final class ReportCredibilityTest {
  private static final long SECOND = DeciMillis.SECOND;
  private static final double TRUE = 10; // ops a second of every task

  private final ReportCredibility trust = new ReportCredibility();
  private long now = 1_000 * SECOND;

  private static EndpointId id(int i) {
    return new EndpointId("t" + i);
  }

  private void honest(int from, int to) {
    for (int i = from; i < to; i++) {
      trust.listed(id(i), 1);
      trust.claimed(id(i), ReportCredibility.Source.TASK, TRUE, now);
    }
  }

  private ReportCredibility.Judgement of(int i) {
    return trust.judge(now).stream().filter(j -> j.task().equals(id(i))).findFirst().orElseThrow();
  }

  /**
   * A claim of three times the truth, made once and never again, with sums that come late: the load
   * that follows the judgement is over the truth by no more than a quarter, for no longer than
   * twice what sums take and 4 s, then by less than a tenth, and in the end not at all.
   */
  @Property(tries = 40, seed = "1")
  void aStaleClaimThreeTimesTooHighMisplacesABoundedPart(
      @ForAll @IntRange(max = 100_000) int seed, @ForAll @IntRange(min = 1, max = 5) int sumsLate) {
    SplittableRandom random = new SplittableRandom(seed);
    honest(0, 10);
    trust.claimed(id(3), ReportCredibility.Source.TASK, 3 * TRUE, now + 1);
    double[] sent = new double[60];
    int over = 0;
    for (int second = 0; second < 60; second++, now += SECOND) {
      for (int i = 0; i < 10; i++) {
        if (i != 3) {
          trust.claimed(
              id(i), ReportCredibility.Source.TASK, TRUE * (0.95 + 0.1 * random.nextDouble()), now);
        }
      }
      sent[second] = of(3).capacity();
      assertTrue(sent[second] <= 1.25 * 1.06 * TRUE, "second " + second + ": " + sent[second]);
      over += sent[second] > 1.1 * TRUE ? 1 : 0;
      if (second >= sumsLate) {
        double load = 0.98 * sent[second - sumsLate];
        long tries = Math.round(load * 10);
        double vain = Math.min(0.9, Math.max(0, 4 * (load / TRUE - 1))) * tries;
        trust.met(id(3), tries, vain, 10 * SECOND, 0, now);
      }
    }
    assertTrue(
        over <= 2 * sumsLate + 4,
        over + " s a tenth over the truth with sums " + sumsLate + " s late");
    assertTrue(sent[59] <= 1.05 * TRUE && sent[59] >= 0.5 * TRUE, "in the end " + sent[59]);
  }

  @Test
  void whatProxiesMeetCapsWhatATaskClaims() {
    honest(0, 5);
    trust.met(id(2), 60, 40, 10 * SECOND, 0, now);
    assertEquals(ReportCredibility.Why.MET, of(2).why());
    assertTrue(of(2).capacity() < 0.5 * TRUE, "acked 2 a second: " + of(2).capacity());
    for (int second = 0; second < 60; second++) {
      now += SECOND;
      trust.met(id(2), 5, 0, SECOND, 0, now);
      honest(0, 5);
    }
    assertTrue(
        of(2).capacity() > 0.9 * TRUE, "it is trusted again as all goes well: " + of(2).capacity());
  }

  @Test
  void ofSourcesThatContradictEachOtherTheLowerCounts() {
    honest(0, 5);
    trust.claimed(id(1), ReportCredibility.Source.OPERATOR, 0.5 * TRUE, now);
    assertEquals(ReportCredibility.Why.SOURCES_DISAGREE, of(1).why());
    assertEquals(0.5 * TRUE, of(1).capacity(), 0.01);
  }

  @Test
  void aTaskThatCanDoMoreRisesStepByStepAsItProvesIt() {
    honest(0, 5);
    double last = 0;
    for (int second = 0; second < 40; second++) {
      now += SECOND;
      honest(0, 4);
      trust.listed(id(4), 1);
      trust.claimed(id(4), ReportCredibility.Source.TASK, 3 * TRUE, now);
      double trusted = of(4).capacity();
      assertTrue(second == 0 || trusted <= 1.26 * Math.max(TRUE, last), trusted + " after " + last);
      last = trusted;
      trust.met(id(4), Math.round(trusted * 10), 0, 10 * SECOND, 0, now);
    }
    assertTrue(last > 2.9 * TRUE, "it can do 30 and gets " + last);
  }

  @Test
  void aClaimTooOldSaysNothingAndAnOlderOneNeverReplacesANewer() {
    honest(0, 5);
    trust.claimed(id(0), ReportCredibility.Source.TASK, 1.2 * TRUE, now + SECOND);
    trust.claimed(id(0), ReportCredibility.Source.TASK, 0.1 * TRUE, now - SECOND);
    now += SECOND;
    assertEquals(1.2 * TRUE, of(0).claimed(), 1e-9);
    now += 31 * SECOND;
    honest(1, 5);
    assertEquals(ReportCredibility.Why.LISTED, of(0).why());
    assertEquals(0.7 * TRUE, of(0).capacity(), 0.01, "listed, and nothing proven");
  }

  /**
   * Names come and go with each deploy: what one proved is not its successor's, and nothing grows.
   */
  @Test
  void aTaskThatLeftLeavesItsPlaceAndNothingElse() {
    honest(0, 5);
    int known = trust.judge(now).size();
    trust.listed(id(10), 1);
    trust.met(id(10), 500, 0, 10 * SECOND, 0, now);
    for (int n = 11; n < 200; n++) {
      trust.gone(id(n - 1));
      trust.listed(id(n), 1);
      assertEquals(ReportCredibility.Why.LISTED, of(n).why());
      assertEquals(0.7 * TRUE, of(n).capacity(), 0.1 * TRUE);
    }
    assertEquals(known + 1, trust.judge(now).size());
  }

  @Test
  void whileNothingIsKnownThereIsNoJudgement() {
    trust.listed(id(0), 1);
    assertTrue(trust.judge(now).isEmpty());
    assertEquals(
        "task t0: weight 0.0",
        assertThrows(IllegalArgumentException.class, () -> trust.listed(id(0), 0)).getMessage());
    assertEquals(
        "task t0: capacity NaN by TASK",
        assertThrows(
                IllegalArgumentException.class,
                () -> trust.claimed(id(0), ReportCredibility.Source.TASK, Double.NaN, now))
            .getMessage());
  }
}
