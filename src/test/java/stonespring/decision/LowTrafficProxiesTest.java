package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.Command;
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

/** Tests the traffic estimates for many proxies with one or two requests per second each. */
final class LowTrafficProxiesTest {
  private static final long SECOND = DeciMillis.SECOND;
  private static final int PROXY_COUNT = 120;
  private static final int ENDPOINTS = 12;
  private static final int CLASSES = 3;
  private static final double REQUEST_RATE = 0.6; // requests per second per proxy and class

  private final SplittableRandom random = new SplittableRandom(5);
  private final long[][] reportedUntil = new long[PROXY_COUNT][CLASSES];
  private final List<Double> limits = new ArrayList<>();
  private AssignmentEngine engine;
  private long now = 100 * SECOND;

  private void startEngine(int instances) {
    engine =
        new AssignmentEngine(
            new Settings(
                new Settings.Fleet(instances, 1, PROXY_COUNT, false),
                List.of(
                    new RequestClass(RetrySafety.IDEMPOTENT, SECOND / 2, 1),
                    new RequestClass(RetrySafety.IDEMPOTENCY_KEYED, SECOND, 1),
                    new RequestClass(RetrySafety.NON_IDEMPOTENT, SECOND, 1)),
                new Settings.EndpointListRules(
                    false, false, Settings.EndpointListRules.UNLIMITED_NOTIFICATION_DELAY),
                AdmissionLimitKind.FRACTION,
                new Settings.ChannelLimits(6000, 10, 0, 10 * SECOND, 3000, false),
                new Settings.RoutingRules(5 * SECOND, 5, 0, 0.1, 3),
                new Settings.SlowStart(10 * SECOND, 0.2, 3),
                SECOND),
            7,
            now);
    List<EndpointRecord> list = new ArrayList<>();
    for (int i = 0; i < ENDPOINTS; i++) {
      list.add(Fleet.endpointRecord("t" + i, 0, EndpointRecord.State.READY, 0));
    }
    engine.handle(now, new Event.EndpointListUpdate(Event.ListUpdateKind.SNAPSHOT, list));
    endBatch();
  }

  private void endBatch() {
    for (Command command : engine.endBatch(now)) {
      if (command instanceof Command.LimitAdmission a) {
        limits.add(a.limit());
      }
    }
  }

  private void connect(int proxy, boolean withoutTables) {
    engine.handle(
        now,
        new Event.ProxyConnected(
            new ProxyId(proxy), new ZoneId(0), REQUEST_RATE * CLASSES, withoutTables));
    java.util.Arrays.fill(reportedUntil[proxy], now);
  }

  /** Draws the number of requests in an interval from a Poisson distribution. */
  private int poisson(double mean) {
    int count = 0;
    for (double threshold = Math.exp(-mean), product = random.nextDouble();
        product > threshold;
        product *= random.nextDouble()) {
      count++;
    }
    return count;
  }

  /**
   * Passes the reports of an interval to the engine. A request class without requests is not
   * reported; its next report covers the interval as well.
   */
  private void handleReports(int from, int to, double utilization) {
    for (int p = from; p < to; p++) {
      for (int k = 0; k < CLASSES; k++) {
        int requests = poisson(REQUEST_RATE);
        if (requests > 0) {
          engine.handle(
              now,
              new Event.ProxyRequestRate(
                  new ProxyId(p), new RequestClassId(k), requests, 0, now - reportedUntil[p][k]));
          reportedUntil[p][k] = now;
        }
      }
    }
    handleOutcomes((to - from) * REQUEST_RATE * CLASSES, utilization);
  }

  private void handleOutcomes(double perSecond, double utilization) {
    handleOutcomes(perSecond, utilization, 0);
  }

  private void handleOutcomes(double perSecond, double utilization, double failureShare) {
    for (int i = 0; i < ENDPOINTS; i++) {
      long attempts = Math.round(perSecond / ENDPOINTS);
      if (attempts > 0) {
        engine.handle(
            now,
            new Event.EndpointOutcomes(
                new EndpointId("t" + i),
                new ZoneId(0),
                attempts,
                Math.round(attempts * failureShare),
                SECOND,
                SECOND / 10,
                new LoadReport(utilization, Double.NaN, Double.NaN, Double.NaN, Double.NaN)));
      }
    }
  }

  /**
   * Proxies report only intervals with requests, so that reported rates are too high. The estimated
   * mean must be right, or requests would be rejected without need.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void estimatesTheMeanRateOfLowTrafficProxies(int instances) {
    startEngine(instances);
    int proxyCount = PROXY_COUNT / instances;
    for (int p = 0; p < proxyCount; p++) {
      connect(p, true);
    }
    endBatch();
    for (int round = 0; round < 40; round++) {
      now += SECOND;
      handleReports(0, proxyCount, 0.72);
      endBatch();
    }
    assertEquals(
        1,
        limits.stream().min(Double::compare).orElse(1.0),
        "no limit is below 1; limits: " + limits);
  }

  /**
   * The first reports cover only the attempts of the few proxies that connected first, and do not
   * show how much the endpoints can serve.
   */
  @Test
  void admitsAllRequestsWhileManyProxiesConnectAfterStart() {
    startEngine(2);
    int connected = 0;
    double reportedRate = 0;
    for (int tenth = 1; tenth <= 80; tenth++) {
      now += SECOND / 10;
      if (connected < PROXY_COUNT / 2) {
        connect(connected++, false);
      }
      if (tenth % 10 == 0) {
        handleOutcomes(reportedRate, 0.5);
        // Outcomes lag behind the connected proxies by a second.
        reportedRate = connected * REQUEST_RATE * CLASSES * 0.9;
      }
      endBatch();
    }
    assertTrue(connected == PROXY_COUNT / 2, "all of this instance's proxies have connected");
    assertEquals(
        1,
        limits.stream().min(Double::compare).orElse(1.0),
        "no limit is below 1; limits: " + limits);
  }

  /**
   * Half of the proxies are disconnected for two minutes. When they reconnect, their request rates
   * from before the disconnection are counted until they report new ones.
   */
  @Test
  void countsEarlierTrafficOfReconnectedProxies() {
    startEngine(1);
    for (int p = 0; p < PROXY_COUNT; p++) {
      connect(p, true);
    }
    for (int round = 0; round < 10; round++) {
      now += SECOND;
      handleReports(0, PROXY_COUNT, 0.6);
      endBatch();
    }
    for (int p = 0; p < PROXY_COUNT / 2; p++) {
      engine.handle(now, new Event.ProxyDisconnected(new ProxyId(p)));
    }
    for (int round = 0; round < 120; round++) {
      now += SECOND;
      handleReports(PROXY_COUNT / 2, PROXY_COUNT, 0.6);
      endBatch();
    }
    assertEquals(
        1,
        limits.stream().min(Double::compare).orElse(1.0),
        "no limit is below 1, because the endpoints can serve the traffic of half of the proxies; limits: "
            + limits);
    for (int p = 0; p < PROXY_COUNT / 2; p++) {
      connect(p, false);
    }
    now += SECOND;
    handleReports(PROXY_COUNT / 2, PROXY_COUNT, 0.6);
    endBatch();
    assertTrue(
        limits.stream().min(Double::compare).orElse(1.0) < 1,
        "a limit is below 1, because the endpoints cannot serve the traffic of all proxies; limits: "
            + limits);
  }

  /**
   * Runs some normal rounds and then some in which attempts fail, and returns the lowest admission
   * limit.
   *
   * @param delayed whether the reports that show the failures arrive four seconds late
   */
  private double runAndFindLowestLimit(boolean delayed) {
    limits.clear();
    startEngine(1);
    for (int p = 0; p < PROXY_COUNT; p++) {
      connect(p, true);
    }
    for (int round = 0; round < 15; round++) {
      now += SECOND;
      handleReports(0, PROXY_COUNT, 0.6);
      endBatch();
    }
    now += delayed ? 4 * SECOND : 0;
    for (int round = 0; round < 4; round++) {
      now += SECOND;
      handleOutcomes(PROXY_COUNT * REQUEST_RATE * CLASSES, 0.6, 0.4);
      endBatch();
    }
    return limits.stream().min(Double::compare).orElse(1.0);
  }

  /**
   * Endpoints report spare capacity while attempts fail. Delayed reports may show an overload that
   * has already ended, so that limits are reduced less.
   */
  @Test
  void reducesLimitsLessWhileReportsAreDelayed() {
    double limitWithoutDelay = runAndFindLowestLimit(false);
    double limitWithDelay = runAndFindLowestLimit(true);
    assertTrue(
        limitWithoutDelay < 0.5,
        "lowest limit without delay: expected less than 0.5, found " + limitWithoutDelay);
    assertTrue(
        limitWithDelay > 0.65,
        "lowest limit with delay: expected more than 0.65, found "
            + limitWithDelay
            + "; without delay: "
            + limitWithoutDelay);
  }
}
