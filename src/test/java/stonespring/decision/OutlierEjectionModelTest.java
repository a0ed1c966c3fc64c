package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.decision.EjectionScenario.OBSERVED;
import static stonespring.decision.EjectionScenario.WORST_CASE;

import java.util.List;
import org.junit.jupiter.api.Test;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.LoadReport;
import stonespring.model.ProxyId;
import stonespring.model.Settings;
import stonespring.model.ZoneId;

/** Tests the expected share of the time for which a proxy ejects an endpoint. */
final class OutlierEjectionModelTest {
  private final EngineClock clock = new EngineClock(100 * Fleet.SECOND);
  private final Settings settings = new FleetSettings().ejectAfter(3).build();
  private final EndpointRegistry endpoints =
      new EndpointRegistry(settings, clock, new LatencyModel(settings.requestClasses()));
  private final ProxyState proxy = new ProxyState(new ProxyId(0), 3);

  OutlierEjectionModelTest() {
    proxy.markConnected(new Event.ProxyConnected(proxy.id(), new ZoneId(0), 10, true), clock.now());
  }

  private EndpointState endpoint(long startedAt, long attempts, long failures) {
    EndpointRecord listed = Fleet.endpointRecord("e", 0, Fleet.READY, startedAt);
    endpoints.applyUpdate(
        new Event.EndpointListUpdate(Event.ListUpdateKind.SNAPSHOT, List.of(listed)));
    endpoints.recordOutcomes(
        new Event.EndpointOutcomes(
            new EndpointId("e"),
            new ZoneId(0),
            attempts,
            failures,
            Fleet.SECOND,
            100,
            LoadReport.NONE));
    return endpoints.find(new EndpointId("e")).orElseThrow();
  }

  private double ejectedShare(EndpointState endpoint, EjectionScenario scenario) {
    return new OutlierEjectionModel(settings.routing(), endpoints)
        .ejectedShare(proxy, endpoint, 0.01, scenario);
  }

  @Test
  void computesObservedEjectionFromProbabilityOfFailureRun() {
    // 10 requests per second, a hundredth of them here, half of which fail; 15 s for each run of 3.
    assertEquals(10 * 0.01 * 15 * Math.pow(0.5, 3), ejectedShare(endpoint(0, 18, 10), OBSERVED));
  }

  @Test
  void assumesUnreportedFailuresInWorstCase() {
    EndpointState healthy = endpoint(0, 18, 0);
    assertEquals(0, ejectedShare(healthy, OBSERVED));
    assertTrue(ejectedShare(healthy, WORST_CASE) > 0.1);
  }

  @Test
  void ignoresObservedFailuresOfWarmingEndpoint() {
    EndpointState warming = endpoint(clock.now(), 18, 10);
    assertEquals(0, ejectedShare(warming, OBSERVED));
    assertTrue(ejectedShare(warming, WORST_CASE) > 0.1);
  }

  @Test
  void expectsNoEjectionWhenProxiesDoNotEject() {
    EndpointState failing = endpoint(0, 18, 18);
    OutlierEjectionModel modelWithoutEjection =
        new OutlierEjectionModel(new FleetSettings().ejectAfter(0).build().routing(), endpoints);
    assertEquals(0, modelWithoutEjection.ejectedShare(proxy, failing, 1, OBSERVED));
    assertEquals(0, modelWithoutEjection.ejectedShare(proxy, failing, 1, WORST_CASE));
  }
}
