package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.Settings;

/**
 * All proxies come to one assigner while a release runs, on sockets, where tables that they bring
 * are unknown.
 */
final class HerdTest {
  private static final int HERD =
      150; // proxies; their first tables fit the channel once, and hardly more
  private static final int RELEASED = 30; // tasks that leave

  private final ArrayDeque<Map.Entry<Double, Event.UpdateAcknowledged>> waiting =
      new ArrayDeque<>();

  private Fleet fleet(long seed, int backlog) {
    Settings settings =
        Fleet.settings(2, AdmissionLimitKind.FRACTION, 0, 5, false, backlog, 2_500, false)
            .onPlatform();
    Fleet f = new Fleet(settings);
    for (int i = 0; i < 2 * RELEASED; i++) {
      f.list.put("t" + i, Fleet.listing("t" + i, i % 2, Fleet.READY, 0));
    }
    f.start(seed);
    for (int i = 0; i < 3; i++) {
      f.join(i, i % 2, 20, true);
    }
    for (int i = 0; i < 8; i++) {
      period(f, true);
    }
    assertTrue(f.proxies.values().stream().allMatch(p -> p.table != null));
    return f;
  }

  /**
   * A second; answers come once their message has passed the channel, a third of its usual pace.
   */
  private void period(Fleet f, boolean answered) {
    f.sums(0.001, Map.of());
    for (int k = 0; k < 5; k++) {
      f.answers.forEach(a -> waiting.add(Map.entry(f.ordered, a)));
      f.answers.clear();
      f.step(Fleet.SECOND / 5);
      while (!waiting.isEmpty() && waiting.peek().getKey() <= f.ordered - f.queued) {
        Event.UpdateAcknowledged answer = waiting.poll().getValue();
        if (answered) {
          f.due.add(answer);
        }
      }
      f.checkRules("at " + f.now);
    }
  }

  private static void herd(Fleet f) {
    for (int i = 3; i < HERD; i++) {
      f.join(i, i % 2, 2, false);
    }
  }

  private static void release(Fleet f, int from) {
    for (int i = from; i < from + RELEASED / 3; i++) {
      f.listed("t" + i, i % 2, EndpointRecord.State.REMOVED, 0);
    }
  }

  /**
   * Warnings cost a line for each task that left at each unknown table, and more than the channel
   * takes in a herd.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void warningsOfAHerdKeepTheBacklog(long seed) {
    Fleet f = fleet(seed, 4_000);
    release(f, 0);
    period(f, true);
    release(f, RELEASED / 3);
    herd(f);
    period(f, true);
    release(f, 2 * RELEASED / 3);
    for (int i = 0; i < 40; i++) {
      period(f, true);
    }
    assertEquals(
        List.of(),
        f.proxies.values().stream().filter(p -> p.table == null).map(p -> p.number).toList());
  }

  /**
   * The herd goes on before it has answered anything: what waited for it is lost, and drains go out
   * as ever.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aHerdThatHasGoneLeavesTheChannelFree(long seed) {
    Fleet f = fleet(seed, 6_000);
    herd(f);
    for (int i = 0; i < 40; i++) {
      period(f, true);
    }
    assertTrue(f.proxies.values().stream().allMatch(p -> p.table != null));
    boolean full = false;
    for (int from = 0; from < 2 * RELEASED - 10 && !full; from += RELEASED / 6) {
      for (int i = from; i < from + RELEASED / 6; i++) {
        f.listed("t" + i, i % 2, EndpointRecord.State.REMOVED, 0);
        f.listed("n" + i, i % 2, Fleet.READY, 0);
      }
      f.step(Fleet.SECOND / 10);
      full =
          f.proxies.values().stream()
              .anyMatch(p -> !f.list.keySet().containsAll(f.lines(p).keySet()));
    }
    assertTrue(full, "no answer came, and the channel counts as full: what left is still named");
    for (int i = 3; i < HERD; i++) {
      f.leave(i);
    }
    List<String> named = new ArrayList<>(f.lines(f.proxies.get(0)).keySet());
    f.listed(named.get(0), 0, EndpointRecord.State.DRAINING, 0);
    f.step(Fleet.SECOND / 10);
    assertFalse(
        f.lines(f.proxies.get(0)).containsKey(named.get(0)),
        "it drains, and its line is still named");
  }
}
