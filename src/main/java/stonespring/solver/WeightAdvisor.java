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
 * Sees what the decision engine is notified of and what it commands, and proposes weights to it. It
 * never commands anything: a proposal is an event of the engine's interface, and one that never
 * comes leaves the engine as it is.
 */
public final class WeightAdvisor {
  /**
   * Utilization above which a capacity is read from it; noise outweighs less. The decision engine
   * estimates capacities separately, with a bound of its own.
   */
  private static final double MIN_UTILIZATION = 0.1;

  /**
   * Attempts without failure that are added to those seen, so that few attempts say little. The
   * decision engine estimates failure shares separately, with a figure of its own.
   */
  private static final double PRIOR_ATTEMPTS = 4;

  /**
   * Share of the rate at which a warming endpoint fails that all proxies with a route to it may
   * receive together.
   */
  private static final double MAX_WARMING_DEMAND_SHARE = 0.8;

  /** Least share of the fleet that this instance is taken to serve. */
  private static final double MIN_FLEET_SHARE = 0.01;

  /** Rounds of reports before the first proposal; an instance that just started knows little. */
  private static final int ROUNDS_BEFORE_FIRST_PROPOSAL = 5;

  /** Requests lost for each more that a full endpoint gets; many answers are late then. */
  private static final double CONGESTION_COST = 3.5;

  /** Requests lost for each new route, as its connection costs work. */
  private static final double NEW_ROUTE_COST = 0.1;

  /** A connected proxy: what it receives, and the routes that it holds. */
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
   * The shortest latency objective of any class, DeciMillis. The decision engine's estimate of late
   * answers is a separate one.
   */
  private final long latencyObjective;

  private final ReportCredibility credibility = new ReportCredibility();
  private final Solver solver = new Solver();
  private final TreeMap<String, ObservedEndpoint> endpoints = new TreeMap<>();
  private final TreeMap<Integer, ConnectedProxy> proxies = new TreeMap<>();
  private Plan plan;
  private int completedRounds;

  /** Starts without any observation. */
  public WeightAdvisor(Settings settings) {
    this.settings = settings;
    this.latencyObjective =
        settings.requestClasses().stream()
            .mapToLong(RequestClass::latencyObjective)
            .min()
            .orElse(DeciMillis.SECOND);
  }

  /** Takes an event that the engine is notified of. */
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
    double retainedShare = Math.pow(0.5, e.interval() / ObservedEndpoint.SMOOTHING_HALF_LIFE);
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
        // Where removed endpoints may serve, one that stopped fails its attempts, which count.
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

  /** Takes a command of the engine: the routes that proxies hold follow from them. */
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

  /** This instance's share of the fleet; those of all instances never sum to more than 1. */
  private double fleetShare() {
    if (settings.fleet().instances() == 1) {
      return 1;
    }
    double share = (double) proxies.size() / Math.max(1, settings.fleet().proxies());
    return Math.max(MIN_FLEET_SHARE, Math.min(1, share));
  }

  /**
   * Proposes weights for all connected proxies. To be called once a round of reports.
   *
   * @return empty in the first rounds, or while no endpoint is ready
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
    if (endpoint.roundInterval() <= 0) {
      return;
    }
    double ownRate =
        endpoint.roundAttempts() * (double) DeciMillis.SECOND / endpoint.roundInterval();
    double totalRate =
        Double.isNaN(endpoint.reportedRate())
            ? ownRate / fleetShare()
            : Math.max(endpoint.reportedRate(), ownRate);
    credibility.recordOutcomes(
        id,
        endpoint.roundAttempts(),
        endpoint.roundFailedOrLate(),
        endpoint.roundInterval(),
        totalRate - ownRate,
        now);
    // What an endpoint seems to do while it warms up says little of the warm one.
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
   * The problem of this round. Routes of a table are bounded by the number that a proxy starts
   * with, the only size of a table that the settings give; proxies that so few can't carry get
   * more.
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

  /** The last plan; empty if the last round brought none. */
  public Optional<Plan> plan() {
    return Optional.ofNullable(plan);
  }
}
