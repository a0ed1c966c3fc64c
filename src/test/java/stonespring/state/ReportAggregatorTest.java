package stonespring.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static stonespring.state.StateFixture.ENDPOINT_A;
import static stonespring.state.StateFixture.ENDPOINT_B;
import static stonespring.state.StateFixture.PROXY;

import java.util.List;
import org.junit.jupiter.api.Test;
import stonespring.model.EndpointId;
import stonespring.model.Event;
import stonespring.model.LoadReport;
import stonespring.model.RequestClassId;
import stonespring.model.ZoneId;
import stonespring.state.ProxyReport.EndpointObservation;
import stonespring.state.ProxyReport.RequestCount;

final class ReportAggregatorTest {
  @Test
  void sumsReportsOfEachPairAndDropsPairsOverTheLimit() {
    ReportAggregator reports = new ReportAggregator(2);
    LoadReport load = new LoadReport(0.5, 1, 1, 1, 1);
    ProxyReport report =
        new ProxyReport(
            100,
            List.of(
                new EndpointObservation(ENDPOINT_A, 4, 1, 200, load),
                new EndpointObservation(ENDPOINT_B, 1, 1, 0, LoadReport.NONE),
                new EndpointObservation(new EndpointId("c@h:3"), 1, 0, 1, LoadReport.NONE)),
            List.of(new RequestCount(new RequestClassId(0), 5, 1)));
    for (int i = 0; i < 100; i++) {
      reports.add(PROXY, new ZoneId(1), report);
    }
    assertEquals(100, reports.droppedObservationCount());
    List<Event> events = reports.drain();
    assertEquals(
        new Event.EndpointOutcomes(ENDPOINT_A, new ZoneId(1), 400, 100, 10_000, 200, load),
        events.get(0));
    assertEquals(
        new Event.ProxyRequestRate(PROXY, new RequestClassId(0), 500, 100, 10_000), events.get(2));
    assertEquals(3, events.size());
    reports.add(
        PROXY,
        new ZoneId(0),
        new ProxyReport(1, List.of(), List.of(new RequestCount(new RequestClassId(0), 5, 1))));
    reports.discardRequestCounts(PROXY);
    assertEquals(List.of(), reports.drain());
  }
}
