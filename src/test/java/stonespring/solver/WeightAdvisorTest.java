package stonespring.solver;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import stonespring.model.AdmissionLimitKind;
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

final class WeightAdvisorTest {
  private static final long SECOND = DeciMillis.SECOND;
  private static final int FIRST = 5; // rounds of sums before the first proposal

  private final Settings settings =
      new Settings(
          new Settings.Fleet(1, 2, 2, false),
          List.of(new RequestClass(RetrySafety.IDEMPOTENT, SECOND, 1)),
          new Settings.EndpointListRules(false, false),
          AdmissionLimitKind.FRACTION,
          new Settings.ChannelLimits(2000, 10, 30, 10 * SECOND, 2000, false),
          new Settings.RoutingRules(5 * SECOND, 3, 0.1, 0.1, 3),
          new Settings.SlowStart(10 * SECOND, 0.2, 3),
          SECOND);
  private final WeightAdvisor advisor = new WeightAdvisor(settings);
  private long now = 100 * SECOND;

  private static EndpointRecord listing(String task, EndpointRecord.State state, long started) {
    return new EndpointRecord(new EndpointId(task), new ZoneId(0), 1, state, started);
  }

  private void told(EndpointRecord... entries) {
    advisor.take(now, new Event.EndpointListUpdate(Event.ListUpdateKind.DELTA, List.of(entries)));
  }

  private List<Event.WeightsProposed> round(String... tasks) {
    now += SECOND;
    for (String task : tasks) {
      for (int zone = 0; zone < 2; zone++) {
        advisor.take(
            now,
            new Event.EndpointOutcomes(
                new EndpointId(task),
                new ZoneId(zone),
                5,
                0,
                SECOND,
                SECOND / 10,
                new LoadReport(0.5, Double.NaN, Double.NaN, Double.NaN, Double.NaN)));
      }
    }
    advisor.take(
        now, new Event.ProxyRequestRate(new ProxyId(0), new RequestClassId(0), 20, 0, SECOND));
    return advisor.propose(now);
  }

  private void started() {
    told(listing("a", EndpointRecord.State.READY, 0), listing("b", EndpointRecord.State.READY, 0));
    advisor.take(now, new Event.ProxyConnected(new ProxyId(0), new ZoneId(0), 20, true));
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
    List<Event.WeightsProposed> all = round("a", "b");
    assertEquals(1, all.size());
    assertEquals(2, all.get(0).routes().size());
    assertEquals(20, advisor.plan().shares().get(0).capacity(), 1, "ten ops a second at half busy");
  }

  @Test
  void whatLeftOrStartedAnewIsNotAdvisedAsBefore() {
    started();
    told(listing("b", EndpointRecord.State.DRAINING, 0));
    assertEquals(
        List.of("a"), round("a").get(0).routes().stream().map(l -> l.endpoint().name()).toList());
    told(listing("b", EndpointRecord.State.READY, now));
    round("a", "b");
    Plan.Share cold = advisor.plan().shares().get(1);
    assertTrue(cold.load() <= 0.35 * 25, "a started task gets what it surely can do: " + cold);
    advisor.take(now, new Event.ProxyDisconnected(new ProxyId(0)));
    assertTrue(round("a", "b").isEmpty());
    assertEquals(null, advisor.plan());
  }
}
