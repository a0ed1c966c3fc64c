package stonespring.solver;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import stonespring.model.Command;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.ProxyId;
import stonespring.model.RequestClass;
import stonespring.model.Settings;
import stonespring.model.ZoneId;

/**
 * Proposes weights to the decision engine, based on the events that the engine receives and the
 * commands that it issues. The advisor itself issues no commands. A proposal is an event of the
 * engine's interface; without proposals the engine works as usual.
 */
public final class WeightAdvisor {
  /**
   * Minimum utilization from which a capacity is derived; below it, noise dominates. The decision
   * engine estimates capacities separately, with its own bound.
   */
  private static final double MIN_UTILIZATION = 0.1;

  /**
   * Successful attempts that are added to those observed, so that a few failures among few attempts
   * have little effect. The decision engine estimates failure shares separately, with its own
   * constant.
   */
  private static final double PRIOR_ATTEMPTS = 4;

  /**
   * Limit on the total rate of all proxies with a route to an endpoint that is warming up, as a
   * share of the rate at which the endpoint would fail.
   */
  private static final double MAX_WARMING_DEMAND_SHARE = 0.8;

  /**
   * Minimum share of the fleet that this instance is assumed to serve; fewer proxies still need
   * some capacity.
   */
  private static final double MIN_FLEET_SHARE = 0.01;

  /**
   * Number of report rounds before the first proposal. An instance that just started knows little,
   * and the tables that its proxies hold keep working.
   */
  private static final int ROUNDS_BEFORE_FIRST_PROPOSAL = 5;

  /**
   * Requests lost per additional request at a full endpoint: about half of its answers are late
   * then, as the decision engine also assumes.
   */
  private static final double CONGESTION_COST = 3.5;

  /** Requests lost per new route: somewhat more than the work of a handshake. */
  private static final double NEW_ROUTE_COST = 0.1;

  /** A connected proxy: the rates that it receives and the routes that it holds. */
  private static final class ConnectedProxy {
    private final ZoneId zone;
    private final double[] requestRates;
    private final TreeMap<String, Double> routes = new TreeMap<>();

    ConnectedProxy(ZoneId zone, int requestClasses, double requestsPerSecond) {
      this.zone = zone;
      this.requestRates = new double[requestClasses];
      Arrays.fill(requestRates, requestsPerSecond / requestClasses);
    }
  }

  private final Settings settings;

  /**
   * The shortest latency objective of all request classes, deci-milliseconds. The decision engine
   * estimates late answers separately.
   */
  private final long latencyObjective;

  private final ReportCredibility credibility = new ReportCredibility();
  private final Solver solver = new Solver();
  private final TreeMap<String, ObservedEndpoint> endpoints = new TreeMap<>();
  private final TreeMap<Integer, ConnectedProxy> proxies = new TreeMap<>();
  private Plan plan;
  private int completedRounds;

  /** Creates an advisor without observations. */
  public WeightAdvisor(Settings settings) {
    this.settings = settings;
    this.latencyObjective =
        settings.requestClasses().stream()
            .mapToLong(RequestClass::latencyObjective)
            .min()
            .orElse(DeciMillis.SECOND);
  }

  /** Updates the advisor from an event that the engine also receives. */
  public void handle(long now, Event event) {
    if (event instanceof Event.EndpointListUpdate e) {
      updateEndpointList(e);
    } else if (event instanceof Event.EndpointOutcomes e) {
      ObservedEndpoint endpoint = endpoints.get(e.endpoint().name());
      if (endpoint != null) {
        endpoint.recordOutcomes(e, latencyObjective);
      }
    } else if (event instanceof Event.ProxyConnected e) {
      int classes = settings.requestClasses().size();
      proxies.put(e.proxy().number(), new ConnectedProxy(e.zone(), classes, e.requestsPerSecond()));
    } else if (event instanceof Event.ProxyDisconnected e) {
      proxies.remove(e.proxy().number());
    } else if (event instanceof Event.ProxyRequestRate e) {
      updateRequestRate(e);
    }
  }

  private void updateRequestRate(Event.ProxyRequestRate e) {
    ConnectedProxy proxy = proxies.get(e.proxy().number());
    if (proxy == null) {
      return;
    }
    int classIndex = e.requestClass().index();
    double retainedShare =
        Math.pow(0.5, e.interval() / ObservedEndpoint.SMOOTHING_HALF_LIFE_DECI_MILLIS);
    double rate = e.requests() * (double) DeciMillis.SECOND / Math.max(1, e.interval());
    proxy.requestRates[classIndex] =
        retainedShare * proxy.requestRates[classIndex] + (1 - retainedShare) * rate;
  }

  private void updateEndpointList(Event.EndpointListUpdate update) {
    if (update.kind() == Event.ListUpdateKind.FETCH_FAILED) {
      return;
    }
    boolean removedEndpointsKeepServing = settings.endpointList().removedEndpointsKeepServing();
    if (update.kind() == Event.ListUpdateKind.SNAPSHOT && !removedEndpointsKeepServing) {
      removeUnlisted(update.endpoints());
    }
    for (EndpointRecord listed : update.endpoints()) {
      if (listed.state() != EndpointRecord.State.REMOVED) {
        updateEndpoint(listed);
      } else if (!removedEndpointsKeepServing) {
        // Where removed endpoints keep serving, they stay known: attempts at one that has stopped
        // fail and count against it.
        endpoints.remove(listed.endpoint().name());
        credibility.remove(listed.endpoint());
      }
    }
  }

  private void removeUnlisted(List<EndpointRecord> snapshot) {
    Set<String> listed =
        snapshot.stream().map(endpoint -> endpoint.endpoint().name()).collect(Collectors.toSet());
    for (String name : endpoints.keySet()) {
      if (!listed.contains(name)) {
        credibility.remove(new EndpointId(name));
      }
    }
    endpoints.keySet().retainAll(listed);
  }

  private void updateEndpoint(EndpointRecord listed) {
    ObservedEndpoint endpoint =
        endpoints.computeIfAbsent(listed.endpoint().name(), name -> new ObservedEndpoint());
    if (endpoint.updateRecord(listed)) {
      credibility.reset(listed.endpoint());
    }
    credibility.setListedWeight(listed.endpoint(), listed.weight() > 0 ? listed.weight() : 1);
  }

  /**
   * Updates the advisor from a command of the engine; the routes that proxies hold follow from the
   * commands.
   */
  public void handleCommand(Command command) {
    if (!(command instanceof Command.SetRoute set)) {
      return;
    }
    ConnectedProxy proxy = proxies.get(set.table().number());
    if (proxy == null) {
      return;
    }
    if (set.weight() > 0) {
      proxy.routes.put(set.endpoint().name(), set.weight());
    } else {
      proxy.routes.remove(set.endpoint().name());
    }
  }

  /**
   * Returns this instance's share of the fleet. The shares of all instances add up to at most 1,
   * unless the minimum share applies.
   */
  private double fleetShare() {
    if (settings.fleet().instances() == 1) {
      return 1;
    }
    double share = (double) proxies.size() / Math.max(1, settings.fleet().proxies());
    return Math.max(MIN_FLEET_SHARE, Math.min(1, share));
  }

  /**
   * Proposes weights for all connected proxies. To be called once per round of reports.
   *
   * @return no proposals in the first rounds, while no endpoint is ready or no proxy is connected,
   *     and in a sharded fleet
   */
  public List<Event.WeightsProposed> proposeWeights(long now) {
    evaluateRound(now);
    List<Problem.Endpoint> ready = readyEndpoints(now);
    boolean tooEarly = completedRounds++ < ROUNDS_BEFORE_FIRST_PROPOSAL;
    if (tooEarly || ready.isEmpty() || proxies.isEmpty() || settings.fleet().sharded()) {
      plan = null;
      return List.of();
    }
    plan = solver.solve(buildProblem(ready));
    return toProposals(plan);
  }

  private void evaluateRound(long now) {
    double attempts = 0;
    double failedOrLate = 0;
    for (ObservedEndpoint endpoint : endpoints.values()) {
      attempts += endpoint.roundAttempts();
      failedOrLate += endpoint.roundFailedOrLate();
    }
    credibility.setFleetFailureShare(failedOrLate / Math.max(PRIOR_ATTEMPTS, attempts));
    endpoints.forEach((name, endpoint) -> evaluateEndpoint(new EndpointId(name), endpoint, now));
  }

  private void evaluateEndpoint(EndpointId id, ObservedEndpoint endpoint, long now) {
    if (endpoint.roundIntervalDeciMillis() <= 0) {
      return;
    }
    double ownRate =
        endpoint.roundAttempts() * (double) DeciMillis.SECOND / endpoint.roundIntervalDeciMillis();
    double totalRate =
        Double.isNaN(endpoint.reportedRate())
            ? ownRate / fleetShare()
            : Math.max(endpoint.reportedRate(), ownRate);
    credibility.recordOutcomes(
        id,
        endpoint.roundAttempts(),
        endpoint.roundFailedOrLate(),
        endpoint.roundIntervalDeciMillis(),
        totalRate - ownRate,
        now);
    // Utilization during warm-up does not indicate the capacity of the warm endpoint.
    boolean isWarm = settings.slowStart().warmUpFraction(endpoint.startedAt(), now) >= 1;
    if (endpoint.utilization() > MIN_UTILIZATION && totalRate > 0 && isWarm) {
      double capacity = endpoint.updateSmoothedCapacity(totalRate);
      credibility.recordClaim(id, ReportCredibility.Source.ENDPOINT, capacity, now);
    }
    endpoint.resetRound();
  }

  private List<Problem.Endpoint> readyEndpoints(long now) {
    List<Problem.Endpoint> ready = new ArrayList<>();
    double share = fleetShare();
    for (ReportCredibility.CapacityEstimate estimate : credibility.estimateCapacities(now)) {
      ObservedEndpoint endpoint = endpoints.get(estimate.endpoint().name());
      if (endpoint != null && endpoint.isReady() && estimate.capacity() > 0) {
        ready.add(readyEndpoint(estimate, endpoint, share, now));
      }
    }
    return ready;
  }

  private Problem.Endpoint readyEndpoint(
      ReportCredibility.CapacityEstimate estimate,
      ObservedEndpoint endpoint,
      double share,
      long now) {
    Settings.SlowStart slowStart = settings.slowStart();
    double warmUpFraction = slowStart.warmUpFraction(endpoint.startedAt(), now);
    double capacity = estimate.capacity() * warmUpFraction * share;
    double[] failureShares = new double[settings.requestClasses().size()];
    double failureShare = endpoint.failures() / (endpoint.attempts() + PRIOR_ATTEMPTS);
    Arrays.fill(failureShares, Math.min(1, failureShare));
    boolean isWarm = warmUpFraction >= 1;
    double maxDemand = MAX_WARMING_DEMAND_SHARE * slowStart.overloadMultiple() * capacity;
    return new Problem.Endpoint(
        estimate.endpoint(),
        endpoint.zone(),
        capacity,
        isWarm ? Double.POSITIVE_INFINITY : capacity,
        isWarm ? Double.POSITIVE_INFINITY : maxDemand,
        failureShares);
  }

  /**
   * Builds the solver's input for this round. Tables are limited to the number of routes that a
   * proxy starts with, the only table size in the settings; a proxy whose rate is too high for so
   * few endpoints gets more.
   */
  private Problem buildProblem(List<Problem.Endpoint> ready) {
    List<Problem.Proxy> connected = new ArrayList<>();
    proxies.forEach(
        (number, proxy) -> {
          List<Problem.Route> routes = new ArrayList<>();
          for (Map.Entry<String, Double> route : proxy.routes.entrySet()) {
            routes.add(new Problem.Route(new EndpointId(route.getKey()), route.getValue()));
          }
          connected.add(
              new Problem.Proxy(
                  new ProxyId(number), proxy.zone, proxy.requestRates.clone(), routes));
        });
    return new Problem(
        settings.fleet().zones(),
        settings.requestClasses().size(),
        Math.max(1, settings.routing().bootstrapRouteCount()),
        new CostModel(CONGESTION_COST, settings.routing().crossZonePenalty(), NEW_ROUTE_COST),
        ready,
        connected);
  }

  private static List<Event.WeightsProposed> toProposals(Plan plan) {
    List<Event.WeightsProposed> proposals = new ArrayList<>();
    for (Plan.Table table : plan.tables()) {
      List<Event.WeightsProposed.Share> shares = new ArrayList<>();
      for (Plan.Route route : table.routes()) {
        shares.add(new Event.WeightsProposed.Share(route.endpoint(), route.weight()));
      }
      proposals.add(new Event.WeightsProposed(table.proxy(), shares));
    }
    return proposals;
  }

  /** Returns the plan of the last round; empty if that round produced none. */
  public Optional<Plan> plan() {
    return Optional.ofNullable(plan);
  }
}
