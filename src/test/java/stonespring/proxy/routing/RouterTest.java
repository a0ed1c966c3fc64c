package stonespring.proxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.Command;
import stonespring.model.EndpointId;
import stonespring.model.RequestClassId;
import stonespring.model.RetryPolicy;
import stonespring.model.RetrySafety;
import stonespring.state.ProxyChange;
import stonespring.state.PublishedKeyCodec;

final class RouterTest {
  private static final RequestClassId VIEW = new RequestClassId(0);
  private static final RequestClassId SKETCH = new RequestClassId(1);
  private static final RequestClassId EXTRACT = new RequestClassId(2);
  private static final long SECOND = 10_000;

  private static Router router(RouterSettings.Picking picking, AdmissionLimitKind limitKind) {
    return new Router(
        new RouterSettings(
            List.of(
                new RouterSettings.ClassSettings("view", RetrySafety.IDEMPOTENT, 0),
                new RouterSettings.ClassSettings(
                    "sketch", RetrySafety.IDEMPOTENCY_KEYED, 2 * SECOND),
                new RouterSettings.ClassSettings("extract", RetrySafety.NON_IDEMPOTENT, 0)),
            3,
            2 * SECOND,
            4 * SECOND,
            100,
            picking,
            limitKind),
        7);
  }

  private static Router router() {
    return router(RouterSettings.Picking.WEIGHTED, AdmissionLimitKind.FRACTION);
  }

  private static TableSubscriber.Result.Update update(
      String stream, boolean fullState, String... pairs) {
    Map<String, String> changes = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      changes.put(pairs[i], pairs[i + 1]);
    }
    return new TableSubscriber.Result.Update(stream, fullState, changes, -1);
  }

  private static Router routerWithTables() {
    Router router = router();
    router.apply(
        update(
            "a",
            true,
            "bind/view",
            "1",
            "bind/sketch",
            "1",
            "bind/extract",
            "1",
            "line/1/x",
            "0.75",
            "line/1/y",
            "0.25"));
    return router;
  }

  @ParameterizedTest
  @EnumSource(RouterSettings.Picking.class)
  void picksEndpointsInProportionToWeights(RouterSettings.Picking picking) {
    Router router = router(picking, AdmissionLimitKind.NONE);
    router.apply(update("a", true, "bind/view", "1", "line/1/x", "0.75", "line/1/y", "0.25"));
    Map<String, Integer> picks = new HashMap<>();
    for (int i = 0; i < 4000; i++) {
      EndpointId endpoint = router.pick(VIEW, null, 0).orElseThrow();
      picks.merge(endpoint.name(), 1, Integer::sum);
      router.recordAttemptEnd(endpoint, true, 0);
    }
    assertEquals(0.75, picks.get("x") / 4000.0, 0.02);
    assertEquals(
        Optional.empty(),
        router.pick(SKETCH, null, 0),
        "a class that was never assigned a table has no routes");
  }

  @Test
  void picksLessLoadedOfTwoEndpointsWithTwoChoices() {
    Router router = router(RouterSettings.Picking.TWO_CHOICES, AdmissionLimitKind.NONE);
    router.apply(update("a", true, "bind/view", "1", "line/1/x", "0.5", "line/1/y", "0.5"));
    Map<String, Integer> inFlight = new HashMap<>();
    for (int i = 0; i < 1000; i++) {
      inFlight.merge(router.pick(VIEW, null, 0).orElseThrow().name(), 1, Integer::sum);
    }
    assertEquals(inFlight.get("x"), inFlight.get("y"), 12);
  }

  @Test
  void keepsEarlierTableUntilNewStreamAssignsOne() {
    Router router = routerWithTables();
    router.apply(update("b", true, "out/x", "1"));
    assertEquals(
        Set.of("y"),
        router.weights(VIEW).keySet(),
        "an exclusion also applies to tables of earlier streams");
    router.apply(update("b", false, "bind/view", "1", "line/1/z", "1"));
    assertEquals(
        Set.of("z"),
        router.weights(VIEW).keySet(),
        "a class with an assignment uses only the table of the current stream");
    assertEquals(Set.of("y"), router.weights(EXTRACT).keySet());
    router.apply(update("b", false, "out/x", null));
    assertEquals(Set.of("x", "y"), router.weights(EXTRACT).keySet());
  }

  @Test
  void replacesStateOfStreamWhenFullStateArrives() {
    Router router = routerWithTables();
    router.apply(
        update("a", true, "bind/view", "1", "line/1/z", "1", "level/every/view", "0.5 never"));
    assertEquals(Set.of("z"), router.weights(VIEW).keySet());
  }

  @Test
  void rejectsWholeUpdateWhenOneValueIsMalformed() {
    Router router = routerWithTables();
    for (String[] malformed :
        new String[][] {
          {"line/1/z", "-1"},
          {"line/1/z", "NaN"},
          {"line/1/z", "1e99"},
          {"line/1/z", "many"},
          {"level/every/view", "1"},
          {"level/every/view", "1 sometimes"},
          {"level/every/view", "-1 never"}
        }) {
      assertThrows(
          IllegalArgumentException.class,
          () -> router.apply(update("a", false, "line/1/x", null, malformed[0], malformed[1])),
          malformed[1]);
    }
    assertEquals(Map.of("x", 0.75, "y", 0.25), router.weights(VIEW));
    router.apply(update("a", false, "some/later/word", "1"));
  }

  @Test
  void ejectsFailingEndpointUnlessNoOtherIsLeft() {
    Router router = routerWithTables();
    for (int i = 0; i < 3; i++) {
      router.recordAttemptEnd(new EndpointId("x"), false, 0);
    }
    for (int i = 0; i < 50; i++) {
      assertEquals("y", router.pick(VIEW, null, SECOND).orElseThrow().name());
    }
    assertEquals(
        "x",
        router.pick(VIEW, new EndpointId("y"), SECOND).orElseThrow().name(),
        "an ejected endpoint is picked if no other is left");
    boolean pickedAgain = false;
    for (int i = 0; i < 50; i++) {
      pickedAgain |= router.pick(VIEW, null, 5 * SECOND).orElseThrow().name().equals("x");
    }
    assertTrue(pickedAgain);
  }

  @Test
  void limitsAdmissionByFractionAndByRate() {
    Router router = routerWithTables();
    router.apply(
        update("a", false, "level/every/view", "0.25 never", "level/1/view", "0.5 on_proof"));
    int admitted = 0;
    for (int i = 0; i < 4000; i++) {
      admitted += router.admit(VIEW, 0) ? 1 : 0;
    }
    assertEquals(1000, admitted, 100, "the lower of the two limits applies");
    assertTrue(
        router.mayRetry(VIEW, new RequestProgress(1, true, 0, SECOND), 0),
        "the retry policy of the table's own limit applies");
    Router rateRouter = router(RouterSettings.Picking.WEIGHTED, AdmissionLimitKind.RATE);
    rateRouter.apply(
        update("a", true, "level/every/view", "10 never", "level/every/extract", "0 never"));
    admitted = 0;
    for (long now = 0; now < 10 * SECOND; now += 10) {
      admitted += rateRouter.admit(VIEW, now) ? 1 : 0;
      assertFalse(rateRouter.admit(EXTRACT, now));
    }
    assertEquals(105, admitted, 10);
  }

  /** The published value of a limit, as an instance encodes it. */
  private static String publishedLimit(double limit, RetryPolicy policy) {
    ProxyChange change =
        new ProxyChange.AdmissionLimitChange(
            Command.ALL_TABLES,
            VIEW,
            Optional.of(new stonespring.state.AdmissionLimit(limit, policy)));
    return new PublishedKeyCodec(List.of()).value(change).orElseThrow();
  }

  /** Checks every combination of request class, retry policy, proof and number of attempts. */
  @Test
  void retriesAccordingToPolicyAndRetrySafety() {
    for (RetryPolicy policy : RetryPolicy.values()) {
      Router router = routerWithTables();
      String word = publishedLimit(1, policy);
      router.apply(
          update(
              "a",
              false,
              "level/every/view",
              word,
              "level/every/sketch",
              word,
              "level/every/extract",
              word));
      for (RequestClassId requestClass : List.of(VIEW, SKETCH, EXTRACT)) {
        for (int attempts = 1; attempts <= 4; attempts++) {
          int maxRetries =
              policy == RetryPolicy.NEVER ? 0 : policy == RetryPolicy.TWICE_ON_FAILURE ? 2 : 1;
          boolean retriesOnFailure =
              policy == RetryPolicy.ONCE_ON_FAILURE || policy == RetryPolicy.TWICE_ON_FAILURE;
          assertEquals(
              attempts <= maxRetries,
              router.mayRetry(requestClass, new RequestProgress(attempts, true, 0, SECOND), 0));
          assertEquals(
              attempts <= maxRetries && retriesOnFailure && requestClass != EXTRACT,
              router.mayRetry(requestClass, new RequestProgress(attempts, false, 0, SECOND), 0),
              "retry after "
                  + attempts
                  + " attempts of "
                  + requestClass
                  + " with policy "
                  + policy);
          assertFalse(
              router.mayRetry(
                  requestClass, new RequestProgress(attempts, true, 0, SECOND), SECOND - 50),
              "no retry with too little time left");
        }
      }
      assertFalse(
          router.mayRetry(SKETCH, new RequestProgress(1, false, 0, 9 * SECOND), 2 * SECOND),
          "no retry after the deduplication window of the endpoints");
      assertFalse(
          router.mayRetry(EXTRACT, new RequestProgress(1, false, 0, 9 * SECOND), 0),
          "no retry of a non-idempotent request that may have been executed");
    }
  }

  @Test
  void returnsSameResultsForSameSeedAndCalls() {
    Router first = routerWithTables();
    Router second = routerWithTables();
    for (int i = 0; i < 200; i++) {
      Optional<EndpointId> endpoint = first.pick(VIEW, null, i);
      assertTrue(endpoint.isPresent());
      assertEquals(endpoint, second.pick(VIEW, null, i));
      assertEquals(first.admit(VIEW, i), second.admit(VIEW, i));
    }
  }
}
