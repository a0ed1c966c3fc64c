package stonespring.solver;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
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
  private static final int ROUNDS_BEFORE_FIRST_PROPOSAL = 5;

  private final Settings settings =
      new Settings(
          new Settings.Fleet(1, 2, 2, false),
          List.of(new RequestClass(RetrySafety.IDEMPOTENT, SECOND, 1)),
          new Settings.EndpointListRules(
              false, false, Settings.EndpointListRules.UNLIMITED_NOTIFICATION_DELAY),
          AdmissionLimitKind.FRACTION,
          new Settings.ChannelLimits(2000, 10, 30, 10 * SECOND, 2000, false),
          new Settings.RoutingRules(5 * SECOND, 3, 0.1, 0.1, 3),
          new Settings.SlowStart(10 * SECOND, 0.2, 3),
          SECOND);
  private final WeightAdvisor advisor = new WeightAdvisor(settings);
  private long now = 100 * SECOND;

  private static EndpointRecord record(
      String endpoint, EndpointRecord.State state, long startedAt) {
    return new EndpointRecord(new EndpointId(endpoint), new ZoneId(0), 1, state, startedAt);
  }

  private void updateList(EndpointRecord... records) {
    advisor.handle(now, new Event.EndpointListUpdate(Event.ListUpdateKind.DELTA, List.of(records)));
  }

  private List<Event.WeightsProposed> reportRoundAndPropose(String... endpoints) {
    now += SECOND;
    for (String endpoint : endpoints) {
      for (int zone = 0; zone < 2; zone++) {
        advisor.handle(
            now,
            new Event.EndpointOutcomes(
                new EndpointId(endpoint),
                new ZoneId(zone),
                5,
                0,
                SECOND,
                SECOND / 10,
                new LoadReport(0.5, Double.NaN, Double.NaN, Double.NaN, Double.NaN)));
      }
    }
    advisor.handle(
        now, new Event.ProxyRequestRate(new ProxyId(0), new RequestClassId(0), 20, 0, SECOND));
    return advisor.proposeWeights(now);
  }

  private void completeInitialRounds() {
    updateList(
        record("a", EndpointRecord.State.READY, 0), record("b", EndpointRecord.State.READY, 0));
    advisor.handle(now, new Event.ProxyConnected(new ProxyId(0), new ZoneId(0), 20, true));
    for (int i = 0; i < ROUNDS_BEFORE_FIRST_PROPOSAL; i++) {
      assertTrue(
          reportRoundAndPropose("a", "b").isEmpty(),
          "an instance that just started must not propose weights, round " + i);
    }
  }

  /**
   * Each zone reports only part of an endpoint's outcomes, so the capacity must follow from the
   * sum.
   */
  @Test
  void sumsOutcomesOfAllZonesForCapacity() {
    completeInitialRounds();
    List<Event.WeightsProposed> proposals = reportRoundAndPropose("a", "b");
    assertEquals(1, proposals.size());
    assertEquals(2, proposals.get(0).routes().size());
    assertEquals(
        20,
        advisor.plan().orElseThrow().allocations().get(0).capacity(),
        1,
        "capacity from 10 requests per second at a utilization of 0.5");
  }

  @Test
  void followsEndpointListAndProxyConnections() {
    completeInitialRounds();
    updateList(record("b", EndpointRecord.State.DRAINING, 0));
    assertEquals(
        List.of("a"),
        reportRoundAndPropose("a").get(0).routes().stream()
            .map(route -> route.endpoint().name())
            .toList());
    updateList(record("b", EndpointRecord.State.READY, now));
    reportRoundAndPropose("a", "b");
    Plan.EndpointAllocation warmingUp = advisor.plan().orElseThrow().allocations().get(1);
    assertTrue(
        warmingUp.load() <= 0.35 * 25,
        "a restarted endpoint gets no more than its warm-up fraction: " + warmingUp);
    advisor.handle(now, new Event.ProxyDisconnected(new ProxyId(0)));
    assertTrue(reportRoundAndPropose("a", "b").isEmpty());
    assertEquals(Optional.empty(), advisor.plan());
  }
}
