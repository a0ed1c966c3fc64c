package stonespring.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks that each rule reports its violation, and only that. */
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

  private void assertOneViolation(String prefix) {
    InvariantChecker.Verdict verdict = check();
    assertEquals(1, verdict.violations().size(), verdict.violations().toString());
    assertTrue(verdict.violations().get(0).startsWith(prefix), verdict.violations().toString());
  }

  private void assertNoViolation() {
    assertEquals(0, check().violations().size(), check().violations().toString());
  }

  private void addOutcome(
      double startedAtMillis,
      String proxy,
      String requestId,
      String requestClass,
      int status,
      String reason,
      boolean notExecuted) {
    evidence.add(
        new Evidence.Outcome(
            startedAtMillis, proxy, requestId, requestClass, status, reason, notExecuted, 100));
  }

  private void addConnection(double atMillis, String proxy) {
    evidence.add(new Evidence.Session(atMillis, proxy, true));
  }

  private void addListing(double atMillis, String endpoint, String state) {
    evidence.add(new Evidence.Listed(atMillis, endpoint, state, -1e9));
  }

  @Test
  void reportsProxyWithoutEndpointForLongerThanTheLimit() {
    addListing(0, "t", "ready");
    addConnection(0, "p");
    for (int i = 0; i < 5; i++) {
      addOutcome(10_000 + 1000 * i, "p", "o" + i, "view", 503, "no-task", true);
    }
    assertNoViolation();
    addOutcome(15_500, "p", "o6", "view", 503, "no-task", true);
    assertOneViolation("rule 1: at 15600 ms proxy p, request class view: no endpoint for 5500 ms");
  }

  @Test
  void allowsProxyWithoutEndpointWhileDisconnectedOrNoWarmEndpointIsListed() {
    addConnection(0, "p");
    evidence.add(new Evidence.Listed(0, "t", "ready", 12_000));
    addOutcome(10_000, "p", "a", "view", 503, "no-task", true);
    addOutcome(17_000, "p", "b", "view", 503, "no-task", true);
    evidence.add(new Evidence.Session(19_000, "p", false));
    addOutcome(23_000, "p", "c", "view", 503, "no-task", true);
    addOutcome(39_000, "p", "d", "view", 503, "no-task", true);
    assertNoViolation();
  }

  private void addEffect(String requestId, String requestClass, int attempt) {
    evidence.add(new Evidence.Effect(1, "t" + attempt, requestId, requestClass, attempt));
  }

  @Test
  void reportsDuplicateEffectOfNonIdempotentRequest() {
    addEffect("v", "view", 1);
    addEffect("v", "view", 2);
    assertNoViolation();
    addEffect("x", "extract", 1);
    addEffect("x", "extract", 2);
    assertOneViolation("rule 2: non-idempotent request x took effect 2 times");
  }

  @Test
  void reportsRequestAnsweredAsNotExecutedThatTookEffect() {
    addEffect("x", "extract", 1);
    addOutcome(0, "p", "x", "extract", 503, "failed", true);
    assertOneViolation(
        "rule 2: non-idempotent request x was answered with status 503 (not executed)"
            + " and took effect 1 times");
  }

  @Test
  void reportsRequestToDrainingEndpointAfterTheGracePeriod() {
    addListing(0, "t", "ready");
    addListing(10_000, "t", "draining");
    addConnection(0, "p");
    addConnection(12_000, "late");
    evidence.add(new Evidence.Arrival(12_900, "t", "p", "a", "view", 1));
    evidence.add(new Evidence.Arrival(14_900, "t", "late", "b", "view", 1));
    evidence.add(new Evidence.Arrival(20_000, "t", "never-connected", "c", "view", 1));
    assertNoViolation();
    evidence.add(new Evidence.Arrival(13_100, "t", "p", "d", "view", 1));
    assertOneViolation("rule 3: at 13100 ms proxy p sent a request to endpoint t, 3100 ms after");
  }

  @Test
  void allowsRequestToRestartedEndpoint() {
    addListing(10_000, "t", "draining");
    addListing(12_000, "t", "gone");
    addListing(13_000, "t", "ready");
    addConnection(0, "p");
    evidence.add(new Evidence.Arrival(30_000, "t", "p", "a", "view", 1));
    assertNoViolation();
  }

  @Test
  void reportsOverloadOfWarmingUpEndpoint() {
    evidence.add(new Evidence.Overloaded(7, "t", 4.5));
    assertOneViolation("rule 4: at 7 ms warming-up endpoint t received 4.5 times");
  }

  @Test
  void reportsBacklogOverItsLimit() {
    evidence.add(new Evidence.ChannelBacklog(1, 100, 100));
    assertNoViolation();
    evidence.add(new Evidence.ChannelBacklog(2, 101, 100));
    assertOneViolation(
        "rule 5: at 2 ms the channel backlog was 101 entries, over its limit of 100");
  }

  @Test
  void reportsTooManyMessagesToOneProxy() {
    for (int i = 0; i < 3; i++) {
      evidence.add(new Evidence.Commit(i, "p"));
      evidence.add(new Evidence.Commit(11_000 + i, "p"));
    }
    assertNoViolation();
    evidence.add(new Evidence.Commit(11_500, "p"));
    assertOneViolation("rule 5: at 11500 ms proxy p had received 4 messages");
  }

  @Test
  void computesServiceAsShareOfPriorityWeightAnsweredInTime() {
    addOutcome(0, "p", "a", "view", 200, "", false);
    evidence.add(new Evidence.Outcome(20_000, "p", "b", "view", 200, "", false, 501));
    addOutcome(30_000, "p", "c", "extract", 429, "level", true);
    InvariantChecker.Verdict verdict = check();
    assertEquals(3.0 / 8, verdict.service(), 1e-9);
    assertEquals(0, verdict.worstWindow(), 1e-9);
    assertEquals(0, verdict.worstClass(), 1e-9);
    assertEquals("extract", verdict.worstClassName());
  }
}
