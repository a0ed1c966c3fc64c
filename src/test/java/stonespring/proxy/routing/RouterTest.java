package stonespring.proxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.RetrySafety;

final class RouterTest {
  private static final RequestClassIndex VIEW = new RequestClassIndex(0);
  private static final RequestClassIndex SKETCH = new RequestClassIndex(1);
  private static final RequestClassIndex EXTRACT = new RequestClassIndex(2);
  private static final long SECOND = 10_000;

  private static Router router(RouterSettings.Picks picks, AdmissionLimitKind levels) {
    return new Router(
        new RouterSettings(
            List.of(
                new RouterSettings.Type("view", RetrySafety.IDEMPOTENT, 0),
                new RouterSettings.Type("sketch", RetrySafety.IDEMPOTENCY_KEYED, 2 * SECOND),
                new RouterSettings.Type("extract", RetrySafety.NON_IDEMPOTENT, 0)),
            3,
            2 * SECOND,
            4 * SECOND,
            100,
            picks,
            levels),
        7);
  }

  private static Router router() {
    return router(RouterSettings.Picks.WEIGHTED, AdmissionLimitKind.FRACTION);
  }

  private static TableSubscriber.Step.Message message(
      String origin, boolean whole, String... pairs) {
    Map<String, String> changes = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      changes.put(pairs[i], pairs[i + 1]);
    }
    return new TableSubscriber.Step.Message(origin, whole, changes, -1);
  }

  private static Router bound() {
    Router router = router();
    router.apply(
        message(
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
  @EnumSource(RouterSettings.Picks.class)
  void picksFollowWeights(RouterSettings.Picks picks) {
    Router router = router(picks, AdmissionLimitKind.NONE);
    router.apply(message("a", true, "bind/view", "1", "line/1/x", "0.75", "line/1/y", "0.25"));
    Map<String, Integer> got = new HashMap<>();
    for (int i = 0; i < 4000; i++) {
      EndpointName task = router.pick(VIEW, null, 0);
      got.merge(task.name(), 1, Integer::sum);
      router.ended(task, true, 0);
    }
    assertEquals(0.75, got.get("x") / 4000.0, 0.02);
    assertNull(
        router.pick(SKETCH, null, 0),
        "an op type that no table was bound for, and nothing held before");
  }

  @Test
  void ofTwoTheOneWithFewerOwnOpsOut() {
    Router router = router(RouterSettings.Picks.TWO, AdmissionLimitKind.NONE);
    router.apply(message("a", true, "bind/view", "1", "line/1/x", "0.5", "line/1/y", "0.5"));
    Map<String, Integer> out = new HashMap<>();
    for (int i = 0; i < 1000; i++) {
      out.merge(router.pick(VIEW, null, 0).name(), 1, Integer::sum);
    }
    assertEquals(out.get("x"), out.get("y"), 12);
  }

  @Test
  void whatAnEarlierStreamOrderedStandsUntilAnotherBindsIt() {
    Router router = bound();
    router.apply(message("b", true, "out/x", "1"));
    assertEquals(
        Set.of("y"),
        router.weights(VIEW).keySet(),
        "a withdrawal holds for tables of whatever stream");
    router.apply(message("b", false, "bind/view", "1", "line/1/z", "1"));
    assertEquals(
        Set.of("z"),
        router.weights(VIEW).keySet(),
        "a bound op type has this stream's table alone");
    assertEquals(Set.of("y"), router.weights(EXTRACT).keySet());
    router.apply(message("b", false, "out/x", null));
    assertEquals(Set.of("x", "y"), router.weights(EXTRACT).keySet());
  }

  @Test
  void aSnapshotOfTheSameStreamReplacesWhatWasMissed() {
    Router router = bound();
    router.apply(
        message("a", true, "bind/view", "1", "line/1/z", "1", "level/every/view", "0.5 never"));
    assertEquals(Set.of("z"), router.weights(VIEW).keySet());
  }

  @Test
  void aMessageThatCantBeReadChangesNothing() {
    Router router = bound();
    for (String[] bad :
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
          () -> router.apply(message("a", false, "line/1/x", null, bad[0], bad[1])),
          bad[1]);
    }
    assertEquals(Map.of("x", 0.75, "y", 0.25), router.weights(VIEW));
    router.apply(message("a", false, "some/later/word", "1"));
  }

  @Test
  void aTaskThatKeepsFailingIsKeptAwayFromUnlessItIsAllThereIs() {
    Router router = bound();
    for (int i = 0; i < 3; i++) {
      router.ended(new EndpointName("x"), false, 0);
    }
    for (int i = 0; i < 50; i++) {
      assertEquals("y", router.pick(VIEW, null, SECOND).name());
    }
    assertEquals(
        "x", router.pick(VIEW, new EndpointName("y"), SECOND).name(), "nothing else is left");
    boolean again = false;
    for (int i = 0; i < 50; i++) {
      again |= router.pick(VIEW, null, 5 * SECOND).name().equals("x");
    }
    assertTrue(again);
  }

  @Test
  void levelsAsSharesAndRates() {
    Router router = bound();
    router.apply(
        message("a", false, "level/every/view", "0.25 never", "level/1/view", "0.5 on_proof"));
    int in = 0;
    for (int i = 0; i < 4000; i++) {
      in += router.admit(VIEW, 0) ? 1 : 0;
    }
    assertEquals(1000, in, 100, "the lower of the two levels holds");
    assertTrue(
        router.mayTryAgain(VIEW, 1, true, 0, SECOND, 0), "and the table's own way of trying again");
    Router rates = router(RouterSettings.Picks.WEIGHTED, AdmissionLimitKind.RATE);
    rates.apply(
        message("a", true, "level/every/view", "10 never", "level/every/extract", "0 never"));
    in = 0;
    for (long now = 0; now < 10 * SECOND; now += 10) {
      in += rates.admit(VIEW, now) ? 1 : 0;
      assertFalse(rates.admit(EXTRACT, now));
    }
    assertEquals(105, in, 10);
  }

  /** Every answer to "may it be tried again", by op type, way, proof and the number of tries. */
  @Test
  void furtherTriesEnumerated() {
    for (Way way : Way.values()) {
      Router router = bound();
      String word = "1 " + way.name().toLowerCase(java.util.Locale.ROOT);
      router.apply(
          message(
              "a",
              false,
              "level/every/view",
              word,
              "level/every/sketch",
              word,
              "level/every/extract",
              word));
      for (RequestClassIndex type : List.of(VIEW, SKETCH, EXTRACT)) {
        for (int tries = 1; tries <= 4; tries++) {
          int most = way == Way.NEVER ? 0 : way == Way.TWICE_ON_FAILURE ? 2 : 1;
          boolean onFailure = way == Way.ONCE_ON_FAILURE || way == Way.TWICE_ON_FAILURE;
          assertEquals(tries <= most, router.mayTryAgain(type, tries, true, 0, SECOND, 0));
          assertEquals(
              tries <= most && onFailure && type != EXTRACT,
              router.mayTryAgain(type, tries, false, 0, SECOND, 0),
              way + " " + type + " " + tries);
          assertFalse(
              router.mayTryAgain(type, tries, true, 0, SECOND, SECOND - 50),
              "too little time is left");
        }
      }
      assertFalse(
          router.mayTryAgain(SKETCH, 1, false, 0, 9 * SECOND, 2 * SECOND),
          "the tasks forget the first by then");
      assertFalse(
          router.mayTryAgain(EXTRACT, 1, false, 0, 9 * SECOND, 0),
          "an op that may have run, once only");
    }
  }

  @Test
  void theSameCallsGiveTheSameAnswers() {
    Router one = bound();
    Router other = bound();
    for (int i = 0; i < 200; i++) {
      EndpointName task = one.pick(VIEW, null, i);
      assertNotNull(task);
      assertEquals(task, other.pick(VIEW, null, i));
      assertEquals(one.admit(VIEW, i), other.admit(VIEW, i));
    }
  }
}
