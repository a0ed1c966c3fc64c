package stonespring.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Each rule reports its violation and nothing else. */
final class InvariantCheckerTest {
  private final Evidence evidence = new Evidence(true);

  private InvariantChecker.Verdict check() {
    return new InvariantChecker(
            new InvariantChecker.Limits(5_000, 3_000, 10_000, 3, 10_000),
            Map.of(
                "view",
                new InvariantChecker.RequestClassPolicy(500, 3, true),
                "extract",
                new InvariantChecker.RequestClassPolicy(500, 2, false)),
            evidence)
        .check(40_000);
  }

  private void assertOneViolation(String start) {
    InvariantChecker.Verdict verdict = check();
    assertEquals(1, verdict.violations().size(), verdict.violations().toString());
    assertTrue(verdict.violations().get(0).startsWith(start), verdict.violations().toString());
  }

  private void assertNoViolation() {
    assertEquals(0, check().violations().size(), check().violations().toString());
  }

  private void outcome(
      double at,
      String proxy,
      String op,
      String type,
      int status,
      String reason,
      boolean notExecuted) {
    evidence.add(new Evidence.Outcome(at, proxy, op, type, status, reason, notExecuted, 100));
  }

  private void connected(double at, String proxy) {
    evidence.add(new Evidence.Session(at, proxy, true));
  }

  private void listed(double at, String endpoint, String state) {
    evidence.add(new Evidence.Listed(at, endpoint, state, -1e9));
  }

  @Test
  void reportsProxyWithoutEndpointForLongerThanTheLimit() {
    listed(0, "t", "ready");
    connected(0, "p");
    for (int i = 0; i < 5; i++) {
      outcome(10_000 + 1000 * i, "p", "o" + i, "view", 503, "no-task", true);
    }
    assertNoViolation();
    outcome(15_500, "p", "o6", "view", 503, "no-task", true);
    assertOneViolation("rule 1: at 15600 ms proxy p for view had no task for 5500 ms");
  }

  @Test
  void allowsNoEndpointWhileDisconnectedOrNoWarmEndpointIsListed() {
    connected(0, "p");
    evidence.add(new Evidence.Listed(0, "t", "ready", 12_000));
    outcome(10_000, "p", "a", "view", 503, "no-task", true);
    outcome(17_000, "p", "b", "view", 503, "no-task", true);
    evidence.add(new Evidence.Session(19_000, "p", false));
    outcome(23_000, "p", "c", "view", 503, "no-task", true);
    outcome(39_000, "p", "d", "view", 503, "no-task", true);
    assertNoViolation();
  }

  private void effect(String op, String type, int attempt) {
    evidence.add(new Evidence.Effect(1, "t" + attempt, op, type, attempt));
  }

  @Test
  void reportsDuplicateEffectOfNonIdempotentRequest() {
    effect("v", "view", 1);
    effect("v", "view", 2);
    assertNoViolation();
    effect("x", "extract", 1);
    effect("x", "extract", 2);
    assertOneViolation("rule 2: op x took effect 2 times");
  }

  @Test
  void reportsAnswerThatDeniesAnEffect() {
    effect("x", "extract", 1);
    outcome(0, "p", "x", "extract", 503, "failed", true);
    assertOneViolation("rule 2: op x was answered 503 as not done and took effect 1 times");
  }

  @Test
  void reportsRequestToDrainingEndpointAfterTheGrace() {
    listed(0, "t", "ready");
    listed(10_000, "t", "draining");
    connected(0, "p");
    connected(12_000, "late");
    evidence.add(new Evidence.Arrival(12_900, "t", "p", "a", "view", 1));
    evidence.add(new Evidence.Arrival(14_900, "t", "late", "b", "view", 1));
    evidence.add(new Evidence.Arrival(20_000, "t", "never-joined", "c", "view", 1));
    assertNoViolation();
    evidence.add(new Evidence.Arrival(13_100, "t", "p", "d", "view", 1));
    assertOneViolation("rule 3: at 13100 ms proxy p sent to t, 3100 ms after");
  }

  @Test
  void allowsRequestToRestartedEndpoint() {
    listed(10_000, "t", "draining");
    listed(12_000, "t", "gone");
    listed(13_000, "t", "ready");
    connected(0, "p");
    evidence.add(new Evidence.Arrival(30_000, "t", "p", "a", "view", 1));
    assertNoViolation();
  }

  @Test
  void reportsOverloadOfWarmingUpEndpoint() {
    evidence.add(new Evidence.Overloaded(7, "t", 4.5));
    assertOneViolation("rule 4: at 7 ms cold task t was sent 4.5 times");
  }

  @Test
  void reportsBacklogOverItsLimit() {
    evidence.add(new Evidence.ChannelBacklog(1, 100, 100));
    assertNoViolation();
    evidence.add(new Evidence.ChannelBacklog(2, 101, 100));
    assertOneViolation("rule 5: at 2 ms 101 lines wait, the limit is 100");
  }

  @Test
  void reportsTooManyMessagesToOneProxy() {
    for (int i = 0; i < 3; i++) {
      evidence.add(new Evidence.Commit(i, "p"));
      evidence.add(new Evidence.Commit(11_000 + i, "p"));
    }
    assertNoViolation();
    evidence.add(new Evidence.Commit(11_500, "p"));
    assertOneViolation("rule 5: at 11500 ms proxy p had 4 messages");
  }

  @Test
  void serviceIsPriorityWeightInTimeOverPriorityWeightAskedFor() {
    outcome(0, "p", "a", "view", 200, "", false);
    evidence.add(new Evidence.Outcome(20_000, "p", "b", "view", 200, "", false, 501));
    outcome(30_000, "p", "c", "extract", 429, "level", true);
    InvariantChecker.Verdict verdict = check();
    assertEquals(3.0 / 8, verdict.service(), 1e-9);
    assertEquals(0, verdict.worstWindow(), 1e-9);
    assertEquals(0, verdict.worstClass(), 1e-9);
    assertEquals("extract", verdict.worstClassName());
  }
}
