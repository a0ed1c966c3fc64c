package stonespring.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.LoadReport;
import stonespring.model.ProxyId;
import stonespring.model.RequestClassId;
import stonespring.model.RetryPolicy;
import stonespring.model.Settings;
import stonespring.model.ZoneId;

/**
 * Simulates a fleet that scales out during a surge. Proxies eject failing endpoints, clients repeat
 * requests, refused attempts are retried at other endpoints, and reports arrive late. After every
 * step it checks the invariants, and it measures the requests that reach each warming endpoint.
 */
final class ScaleOutSimulation {
  private static final long SECOND = DeciMillis.SECOND;
  private static final long STEP_DECI_MILLIS = SECOND / 10;
  private static final int PROXY_COUNT = 30;
  private static final int ENDPOINT_COUNT = 16;

  private static final double WARM_CAPACITY = 20; // requests per second of a warm endpoint

  /**
   * Load of an endpoint in one step.
   *
   * @param at when, DeciMillis
   * @param requests the number of requests that reached it
   */
  private record StepLoad(long at, double requests) {}

  private final Fleet fleet = new Fleet(settings());
  private final SplittableRandom random;
  private final long reportDelayDeciMillis;
  private final TreeMap<String, Double> failureShares = new TreeMap<>();
  private final TreeMap<String, double[]> attemptsByZone = new TreeMap<>();
  private final TreeMap<String, double[]> failuresByZone = new TreeMap<>();
  private final Map<String, Long> ejectedUntil = new HashMap<>();
  private final Map<String, Integer> consecutiveFailures = new HashMap<>();
  private final TreeMap<String, ArrayDeque<StepLoad>> recentLoads = new TreeMap<>();
  private final Map<Integer, Double> requestsByProxy = new HashMap<>();
  private final List<Map.Entry<Long, Event>> delayedReports = new ArrayList<>();
  private double repeatedShare;
  private double worstLoadShare;
  private String worstLoadDescription = "";

  ScaleOutSimulation(long seed, long reportDelayDeciMillis) {
    this.random = new SplittableRandom(seed);
    this.reportDelayDeciMillis = reportDelayDeciMillis;
  }

  private static Settings settings() {
    return new FleetSettings().proxies(PROXY_COUNT).bootstrapRoutes(5).channel(6000, 6000).build();
  }

  /**
   * Sends the requests of one step over the tables that proxies hold now, and updates the failure
   * shares of endpoints.
   *
   * @param surge factor on the usual requests of all proxies
   */
  private void sendRequests(double surge) {
    TreeMap<String, Double> load = new TreeMap<>();
    boolean retries =
        fleet.retryPolicies.getOrDefault(0, RetryPolicy.IF_NOT_EXECUTED) != RetryPolicy.NEVER;
    for (FleetProxy proxy : fleet.proxies.values()) {
      double requests =
          proxy.requestRate * surge * (1 + 2 * repeatedShare) * STEP_DECI_MILLIS / SECOND;
      requestsByProxy.merge(proxy.number, requests, Double::sum);
      distributeAttempts(proxy, requests * fleet.meanLimit(), load, retries);
    }
    double failedAttempts = 0;
    double allAttempts = 0;
    for (Map.Entry<String, Double> e : load.entrySet()) {
      EndpointRecord endpoint = fleet.endpoints.get(e.getKey());
      double capacity =
          endpoint == null
              ? 0
              : WARM_CAPACITY * fleet.warmUpFraction(endpoint) * STEP_DECI_MILLIS / SECOND;
      double excess = capacity <= 0 ? 1 : Math.max(0, 1 - capacity / e.getValue());
      failureShares.merge(e.getKey(), excess, (a, b) -> 0.8 * a + 0.2 * b);
      failedAttempts += e.getValue() * failureShares.get(e.getKey());
      allAttempts += e.getValue();
      if (endpoint != null && fleet.warmUpFraction(endpoint) < 1) {
        recordWarmingLoad(e.getKey(), e.getValue(), capacity);
      }
    }
    if (allAttempts > 0) {
      // Clients repeat only after waiting without success, so that repeats follow failures slowly.
      repeatedShare = 0.95 * repeatedShare + 0.05 * failedAttempts / allAttempts;
    }
  }

  /**
   * Distributes a proxy's attempts over its routes, except for those to endpoints that it has
   * ejected.
   *
   * @param load attempts by endpoint, to which the attempts of the proxy are added
   * @param retries whether proxies retry failed attempts at their other endpoints
   */
  private void distributeAttempts(
      FleetProxy proxy, double attempts, TreeMap<String, Double> load, boolean retries) {
    TreeMap<String, Double> shares = proxy.shares();
    TreeMap<String, Double> available = new TreeMap<>(shares);
    available
        .keySet()
        .removeIf(name -> ejectedUntil.getOrDefault(proxy.number + name, 0L) > fleet.now);
    TreeMap<String, Double> usedShares = available.isEmpty() ? shares : available;
    double sum = usedShares.values().stream().mapToDouble(w -> w).sum();
    for (Map.Entry<String, Double> e : usedShares.entrySet()) {
      double routeAttempts = attempts * e.getValue() / sum;
      double failureShare = failureShares.getOrDefault(e.getKey(), 0.0);
      load.merge(e.getKey(), routeAttempts, Double::sum);
      attemptsByZone.computeIfAbsent(e.getKey(), n -> new double[2])[proxy.zone] += routeAttempts;
      failuresByZone.computeIfAbsent(e.getKey(), n -> new double[2])[proxy.zone] +=
          routeAttempts * failureShare;
      drawOutcomes(proxy.number + e.getKey(), routeAttempts, failureShare);
      if (retries && failureShare > 0) {
        TreeMap<String, Double> others = new TreeMap<>(available);
        others.remove(e.getKey());
        double otherWeight = others.values().stream().mapToDouble(w -> w).sum();
        others.forEach(
            (name, w) ->
                load.merge(name, routeAttempts * failureShare / 2 * w / otherWeight, Double::sum));
      }
    }
  }

  /**
   * Draws the outcome of each attempt of a proxy at an endpoint, and ejects the endpoint for 2.6 to
   * 6.4 s after too many consecutive failures.
   */
  private void drawOutcomes(String proxyAndEndpoint, double attempts, double failureShare) {
    int attemptCount = (int) attempts + (random.nextDouble() < attempts - (int) attempts ? 1 : 0);
    for (int i = 0; i < attemptCount; i++) {
      int failures =
          random.nextDouble() < failureShare
              ? consecutiveFailures.merge(proxyAndEndpoint, 1, Integer::sum)
              : 0;
      consecutiveFailures.put(proxyAndEndpoint, failures);
      if (failures >= fleet.settings.routing().ejectAfterConsecutiveFailures()) {
        consecutiveFailures.put(proxyAndEndpoint, 0);
        ejectedUntil.put(proxyAndEndpoint, fleet.now + 26_000 + random.nextInt(38_000));
      }
    }
  }

  /** Updates the worst load with that of a warming endpoint over the last two seconds. */
  private void recordWarmingLoad(String endpoint, double requests, double capacity) {
    ArrayDeque<StepLoad> recent = recentLoads.computeIfAbsent(endpoint, n -> new ArrayDeque<>());
    recent.add(new StepLoad(fleet.now, requests));
    while (fleet.now - recent.peek().at() > 2 * SECOND) {
      recent.poll();
    }
    double overloadLimit =
        fleet.settings.slowStart().overloadMultiple() * capacity * 2 * SECOND / STEP_DECI_MILLIS;
    double share = recent.stream().mapToDouble(StepLoad::requests).sum() / overloadLimit;
    if (share > worstLoadShare) {
      worstLoadShare = share;
      worstLoadDescription = endpoint + " at " + (fleet.now / (double) SECOND - 100) + " s";
    }
  }

  /** Queues the reports of the last second, which arrive after the delay. */
  private void queueReports() {
    attemptsByZone.forEach(this::reportOutcomes);
    attemptsByZone.clear();
    failuresByZone.clear();
    requestsByProxy.forEach(
        (proxy, requests) -> {
          for (int k = 0; k < 3; k++) {
            delayReport(
                new Event.ProxyRequestRate(
                    new ProxyId(proxy),
                    new RequestClassId(k),
                    Math.round(requests / 3),
                    0,
                    SECOND));
          }
        });
    requestsByProxy.clear();
  }

  private void reportOutcomes(String name, double[] attemptsByZone) {
    EndpointRecord endpoint = fleet.endpoints.get(name);
    double allAttempts = attemptsByZone[0] + attemptsByZone[1];
    double utilization =
        endpoint == null
            ? Double.NaN
            : Math.min(1, allAttempts / (WARM_CAPACITY * fleet.warmUpFraction(endpoint)));
    for (int zone = 0; zone < 2; zone++) {
      long attempts = Math.round(attemptsByZone[zone]);
      if (attempts > 0) {
        delayReport(
            new Event.EndpointOutcomes(
                new EndpointId(name),
                new ZoneId(zone),
                attempts,
                Math.min(attempts, Math.round(failuresByZone.get(name)[zone])),
                SECOND,
                (long) (800 * (1 + 5 * failureShares.get(name))),
                new LoadReport(utilization, Double.NaN, Double.NaN, Double.NaN, Double.NaN)));
      }
    }
  }

  private void delayReport(Event event) {
    delayedReports.add(Map.entry(fleet.now + reportDelayDeciMillis, event));
  }

  /** Returns the name of the endpoint with the worst load, and the instant of that load. */
  String worstLoadDescription() {
    return worstLoadDescription;
  }

  private void setUp() {
    for (int i = 0; i < ENDPOINT_COUNT; i++) {
      fleet.updateEndpoint("t" + i, i % 2, Fleet.READY, 0);
    }
    fleet.startEngine(random.nextLong());
    for (int i = 0; i < PROXY_COUNT; i++) {
      double size = Math.pow(1 - random.nextDouble(), -0.5);
      fleet.connect(i, i % 2, Math.min(40, 5 * size), true);
    }
  }

  /**
   * Runs 2 to 14 seconds of normal operation and then 25 seconds of a surge. From two seconds into
   * the surge, endpoints are added each second.
   *
   * @param surge factor on the usual requests that the surge reaches
   * @param addedAtOnce endpoints that are added each second
   * @return the worst load of a warming endpoint, as a multiple of the overload limit
   */
  double run(double surge, int addedAtOnce) {
    setUp();
    int addedCount = 0;
    int surgeStep = 20 + random.nextInt(120);
    for (int step = 0; step < surgeStep + 250; step++) {
      int stepsSinceSurge = step - surgeStep;
      if (stepsSinceSurge >= 20 && stepsSinceSurge % 10 == 0 && addedCount < ENDPOINT_COUNT) {
        for (int i = 0; i < addedAtOnce; i++) {
          fleet.updateEndpoint(
              "entrant" + addedCount++,
              random.nextInt(2),
              Fleet.READY,
              fleet.now - random.nextInt(5_000));
        }
      }
      sendRequests(
          stepsSinceSurge >= 0 ? Math.min(surge, 0.8 + stepsSinceSurge * (surge - 0.8) / 30) : 0.8);
      if (step % 10 == 9) {
        queueReports();
      }
      delayedReports.removeIf(e -> e.getKey() <= fleet.now && fleet.events.add(e.getValue()));
      fleet.acknowledgeAll();
      fleet.step(STEP_DECI_MILLIS);
      fleet.checkInvariants("step " + step);
    }
    return worstLoadShare;
  }
}
