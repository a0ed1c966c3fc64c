package stonespring.solver;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import stonespring.model.Event;
import stonespring.model.Listing;
import stonespring.model.LoadReport;
import stonespring.model.OpType;
import stonespring.model.OpTypeId;
import stonespring.model.ProxyId;
import stonespring.model.Settings;
import stonespring.model.TaskId;
import stonespring.model.Tenths;
import stonespring.model.ZoneId;

final class AdvisorTest {
  private static final long SECOND = Tenths.SECOND;
  private static final int FIRST = 5; // rounds of sums before the first proposal

  private final Settings settings =
      new Settings(
          1,
          2,
          List.of(new OpType(OpType.Repeat.RETRYABLE, SECOND, 1)),
          false,
          Settings.LevelKind.SHARE,
          2000,
          10,
          30,
          10 * SECOND,
          2000,
          5 * SECOND,
          3,
          2,
          SECOND,
          false,
          0.1,
          10 * SECOND,
          0.2,
          3,
          0.1,
          false,
          3);
  private final Advisor advisor = new Advisor(settings);
  private long now = 100 * SECOND;

  private static Listing listing(String task, Listing.State state, long started) {
    return new Listing(new TaskId(task), new ZoneId(0), 1, state, started);
  }

  private void told(Listing... entries) {
    advisor.take(now, new Event.ListTold(Event.ListKind.CHANGES, List.of(entries)));
  }

  private List<Event.Proposed> round(String... tasks) {
    now += SECOND;
    for (String task : tasks) {
      for (int zone = 0; zone < 2; zone++) {
        advisor.take(
            now,
            new Event.TaskSums(
                new TaskId(task),
                new ZoneId(zone),
                5,
                0,
                SECOND,
                SECOND / 10,
                new LoadReport(0.5, Double.NaN, Double.NaN, Double.NaN, Double.NaN)));
      }
    }
    advisor.take(now, new Event.ProxyOps(new ProxyId(0), new OpTypeId(0), 20, 0, SECOND));
    return advisor.propose(now);
  }

  private void started() {
    told(listing("a", Listing.State.READY, 0), listing("b", Listing.State.READY, 0));
    advisor.take(now, new Event.ProxyJoined(new ProxyId(0), new ZoneId(0), 20, true));
    for (int i = 0; i < FIRST; i++) {
      assertTrue(
          round("a", "b").isEmpty(),
          "an instance that started leaves what stands alone, round " + i);
    }
  }

  /** Each zone's sums are a part; read one by one they once halved what a task was trusted with. */
  @Test
  void aTasksCapacityIsReadFromAllZonesTogether() {
    started();
    List<Event.Proposed> all = round("a", "b");
    assertEquals(1, all.size());
    assertEquals(2, all.get(0).lines().size());
    assertEquals(20, advisor.plan().shares().get(0).capacity(), 1, "ten ops a second at half busy");
  }

  @Test
  void whatLeftOrStartedAnewIsNotAdvisedAsBefore() {
    started();
    told(listing("b", Listing.State.DRAINING, 0));
    assertEquals(
        List.of("a"), round("a").get(0).lines().stream().map(l -> l.task().name()).toList());
    told(listing("b", Listing.State.READY, now));
    round("a", "b");
    Plan.Share cold = advisor.plan().shares().get(1);
    assertTrue(cold.load() <= 0.35 * 25, "a started task gets what it surely can do: " + cold);
    advisor.take(now, new Event.ProxyLeft(new ProxyId(0)));
    assertTrue(round("a", "b").isEmpty());
    assertEquals(null, advisor.plan());
  }
}
