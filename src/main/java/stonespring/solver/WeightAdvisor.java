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
  /** Utilization; a capacity read from less is mostly noise. */
  private static final double MIN_UTILIZATION = 0.1;

  /** Attempts that are added to those seen; fewer than these say nothing of a failure share. */
  private static final double DOUBT_ATTEMPTS = 4;

  /** Share of the overload multiple, all proxies' requests together. */
  private static final double MAX_NAMED_SHARE = 0.8;

  /** Share of the fleet; fewer proxies still need room. */
  private static final double MIN_FLEET_SHARE = 0.01;

  /** Rounds of reports; an instance that started knows little, and tables stand. */
  private static final int ROUNDS_BEFORE_FIRST_PROPOSAL = 5;

  /** Requests lost for one more at a full endpoint: half of its answers are late then. */
  private static final double LATENESS_COST = 3.5;

  /** Requests lost for a connection: a handshake's work, and some. */
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
  private final long latencyObjective;
  private final ReportCredibility credibility = new ReportCredibility();
  private final Solver solver = new Solver();
  private final TreeMap<String, ObservedEndpoint> endpoints = new TreeMap<>();
  private final TreeMap<Integer, ConnectedProxy> proxies = new TreeMap<>();
  private Plan plan;
  private int rounds;

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
      updateList(e);
    } else if (event instanceof Event.EndpointOutcomes e) {
      ObservedEndpoint endpoint = endpoints.get(e.endpoint().name());
      if (endpoint != null) {
        endpoint.observe(e, latencyObjective);
      }
    } else if (event instanceof Event.ProxyConnected e) {
      int classes = settings.requestClasses().size();
      proxies.put(e.proxy().number(), new ConnectedProxy(e.zone(), classes, e.requestsPerSecond()));
    } else if (event instanceof Event.ProxyDisconnected e) {
      proxies.remove(e.proxy().number());
    } else if (event instanceof Event.ProxyRequestRate e) {
      updateRate(e);
    }
  }

  private void updateRate(Event.ProxyRequestRate e) {
    ConnectedProxy proxy = proxies.get(e.proxy().number());
    if (proxy == null) {
      return;
    }
    int k = e.requestClass().index();
    double kept = Math.pow(0.5, e.interval() / ObservedEndpoint.SMOOTHING_HALF_LIFE);
    double rate = e.requests() * (double) DeciMillis.SECOND / Math.max(1, e.interval());
    proxy.requestRates[k] = kept * proxy.requestRates[k] + (1 - kept) * rate;
  }

  private void updateList(Event.EndpointListUpdate update) {
    if (update.kind() == Event.ListUpdateKind.FETCH_FAILED) {
      return;
    }
    boolean removedKeepServing = settings.endpointList().removedEndpointsKeepServing();
    if (update.kind() == Event.ListUpdateKind.SNAPSHOT && !removedKeepServing) {
      removeUnlisted(update.endpoints());
    }
    for (EndpointRecord listed : update.endpoints()) {
      if (listed.state() != EndpointRecord.State.REMOVED) {
        updateEndpoint(listed);
      } else if (!removedKeepServing) {
        // Where removed endpoints may serve, one that stopped fails its attempts, which count.
        endpoints.remove(listed.endpoint().name());
        credibility.removed(listed.endpoint());
      }
    }
  }

  private void removeUnlisted(List<EndpointRecord> snapshot) {
    Set<String> listed =
        snapshot.stream().map(endpoint -> endpoint.endpoint().name()).collect(Collectors.toSet());
    for (String name : endpoints.keySet()) {
      if (!listed.contains(name)) {
        credibility.removed(new EndpointId(name));
      }
    }
    endpoints.keySet().retainAll(listed);
  }

  private void updateEndpoint(EndpointRecord listed) {
    ObservedEndpoint endpoint =
        endpoints.computeIfAbsent(listed.endpoint().name(), name -> new ObservedEndpoint());
    if (endpoint.update(listed)) {
      credibility.restarted(listed.endpoint());
    }
    credibility.listed(listed.endpoint(), listed.weight() > 0 ? listed.weight() : 1);
  }

  /** Takes a command of the engine: the routes that proxies hold follow from them. */
  public void commanded(Command command) {
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
  public List<Event.WeightsProposed> propose(long now) {
    endRound(now);
    List<Problem.Endpoint> ready = readyEndpoints(now);
    boolean tooEarly = rounds++ < ROUNDS_BEFORE_FIRST_PROPOSAL;
    if (tooEarly || ready.isEmpty() || proxies.isEmpty() || settings.fleet().sharded()) {
      plan = null;
      return List.of();
    }
    plan = solver.solve(problem(ready));
    return proposals(plan);
  }

  private void endRound(long now) {
    double attempts = 0;
    double failedOrLate = 0;
    for (ObservedEndpoint endpoint : endpoints.values()) {
      attempts += endpoint.roundAttempts();
      failedOrLate += endpoint.roundFailedOrLate();
    }
    credibility.fleetObserved(failedOrLate / Math.max(DOUBT_ATTEMPTS, attempts));
    endpoints.forEach((name, endpoint) -> endRound(new EndpointId(name), endpoint, now));
  }

  private void endRound(EndpointId id, ObservedEndpoint endpoint, long now) {
    if (endpoint.roundInterval() <= 0) {
      return;
    }
    double ownRate =
        endpoint.roundAttempts() * (double) DeciMillis.SECOND / endpoint.roundInterval();
    double totalRate =
        Double.isNaN(endpoint.reportedRate())
            ? ownRate / fleetShare()
            : Math.max(endpoint.reportedRate(), ownRate);
    credibility.observed(
        id,
        endpoint.roundAttempts(),
        endpoint.roundFailedOrLate(),
        endpoint.roundInterval(),
        totalRate - ownRate,
        now);
    // What an endpoint seems to do while it warms up says little of the warm one.
    boolean isWarm = settings.slowStart().warmUpFraction(endpoint.startedAt(), now) >= 1;
    if (endpoint.utilization() > MIN_UTILIZATION && totalRate > 0 && isWarm) {
      double capacity = endpoint.smoothCapacity(totalRate);
      credibility.claimed(id, ReportCredibility.Source.ENDPOINT, capacity, now);
    }
    endpoint.endRound();
  }

  private List<Problem.Endpoint> readyEndpoints(long now) {
    List<Problem.Endpoint> ready = new ArrayList<>();
    double share = fleetShare();
    for (ReportCredibility.Judgement judgement : credibility.judge(now)) {
      ObservedEndpoint endpoint = endpoints.get(judgement.endpoint().name());
      if (endpoint != null && endpoint.isReady() && judgement.capacity() > 0) {
        ready.add(readyEndpoint(judgement, endpoint, share, now));
      }
    }
    return ready;
  }

  private Problem.Endpoint readyEndpoint(
      ReportCredibility.Judgement judgement, ObservedEndpoint endpoint, double share, long now) {
    Settings.SlowStart slowStart = settings.slowStart();
    double warmUp = slowStart.warmUpFraction(endpoint.startedAt(), now);
    double capacity = judgement.capacity() * warmUp * share;
    double[] failureShares = new double[settings.requestClasses().size()];
    double failureShare = endpoint.failures() / (endpoint.attempts() + DOUBT_ATTEMPTS);
    Arrays.fill(failureShares, Math.min(1, failureShare));
    boolean isWarm = warmUp >= 1;
    double maxNamed = MAX_NAMED_SHARE * slowStart.overloadMultiple() * capacity;
    return new Problem.Endpoint(
        judgement.endpoint(),
        endpoint.zone(),
        capacity,
        isWarm ? Double.POSITIVE_INFINITY : capacity,
        isWarm ? Double.POSITIVE_INFINITY : maxNamed,
        failureShares);
  }

  private Problem problem(List<Problem.Endpoint> ready) {
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
        new CostModel(LATENESS_COST, settings.routing().crossZonePenalty(), NEW_ROUTE_COST),
        ready,
        connected);
  }

  private static List<Event.WeightsProposed> proposals(Plan plan) {
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
