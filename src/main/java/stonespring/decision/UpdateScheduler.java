package stonespring.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stonespring.model.DeciMillis;
import stonespring.model.Settings;

/**
 * Schedules changes of route tables so that no endpoint gets more load than it has headroom for,
 * after Wu, Liang, Lee, Tseng, <i>Efficient and Consistent Flow Update for Software Defined
 * Networks</i>, IEEE JSAC 2018. A proxy's table corresponds to a flow of the paper, an endpoint to
 * a link.
 *
 * <p>In a round (Algorithm 3), moves are sorted by potential update time (IV-B), the longest first:
 * the time that the move takes in the channel, plus that of the longest chain of moves that wait
 * for the headroom it frees. A move is admitted if all endpoints that it adds load to have
 * headroom. Headroom that it frees counts once the move is acknowledged, or after 2 s. If no move
 * can be admitted and no freed headroom is awaited, the move with the lowest yield ratio is sent at
 * a reduced rate (Algorithm 4).
 *
 * <p>In short: a change that frees an endpoint which others wait for is sent first. A change is
 * sent whole if each endpoint that it adds load to has room for it, and waits otherwise. If all
 * wait for each other, the change that comes closest to fitting is sent in part, to resolve the
 * deadlock.
 */
final class UpdateScheduler {
  /**
   * Mean load ratio of all endpoints, divided by the highest load ratio that a move may cause at an
   * endpoint. An endpoint may take 1 / 0.8 = 1.25 times the load that its capacity would get at the
   * mean load ratio.
   */
  private static final double MEAN_TO_MAX_LOAD_RATIO = 0.8;

  /** Potential update time of a move in a cycle of waiting moves; above that of any chain. */
  private static final double CYCLE_TIME_DECI_MILLIS = 1e9;

  /**
   * Share of a table's requests that a change must move to be sent; a smaller change is within the
   * noise of reports.
   */
  private static final double MIN_TABLE_CHANGE_SHARE = 0.05;

  /**
   * Share of an endpoint's capacity by which a change must reduce its load to be sent even if the
   * change moves only a small share of a large proxy's requests.
   */
  private static final double MIN_CAPACITY_CHANGE_SHARE = 0.1;

  private final Settings settings;
  private final EndpointRegistry endpoints;
  private final ProxyRegistry proxies;
  private final Estimates estimates;
  private final ChannelBudget budget;
  private final InFlightMoves inFlight;
  private final TableUpdater updater;

  UpdateScheduler(
      Settings settings,
      EndpointRegistry endpoints,
      ProxyRegistry proxies,
      Estimates estimates,
      ChannelBudget budget,
      InFlightMoves inFlight,
      TableUpdater updater) {
    this.settings = settings;
    this.endpoints = endpoints;
    this.proxies = proxies;
    this.estimates = estimates;
    this.budget = budget;
    this.inFlight = inFlight;
    this.updater = updater;
  }

  /** Runs a scheduling round over the tables of the given proxies. */
  void runRound(List<ProxyState> candidates) {
    inFlight.removeReported();
    double[] headroom = computeHeadroom();
    List<PendingMove> moves = new ArrayList<>();
    Map<EndpointState, List<PendingMove>> waitingByEndpoint = new HashMap<>();
    for (ProxyState proxy : candidates) {
      limitTargets(proxy, headroom);
      if (isWorthSending(proxy)) {
        PendingMove move = new PendingMove(proxy);
        moves.add(move);
        registerWaiting(move, headroom, waitingByEndpoint);
      }
    }
    for (PendingMove move : moves) {
      computePotentialUpdateTime(move, waitingByEndpoint);
    }
    moves.sort(
        Comparator.<PendingMove>comparingDouble(move -> -move.potentialUpdateTime())
            .thenComparingDouble(move -> -move.proxy().averageRate())
            .thenComparingInt(move -> move.proxy().id().number()));
    boolean admitted = admitMoves(moves, headroom);
    if (!admitted && !inFlight.isAwaitingCredit()) {
      resolveDeadlock(moves, headroom);
    }
  }

  /**
   * Returns the requests per second that this instance may add at each endpoint, by endpoint index.
   */
  private double[] computeHeadroom() {
    double[] headroom = new double[endpoints.size()];
    for (EndpointState endpoint : endpoints.all()) {
      headroom[endpoint.index()] = endpoint.isReady() ? headroomOf(endpoint) : 0;
    }
    for (ProxyState proxy : proxies.all()) {
      if (proxy.isTableAssigned()) {
        subtractUnreportedLoad(proxy, headroom);
      }
    }
    inFlight.applyTo(headroom);
    return headroom;
  }

  private double headroomOf(EndpointState endpoint) {
    CapacityEstimator capacity = estimates.capacity();
    double maxLoad = endpoint.capacity() * capacity.meanLoadRatio() / MEAN_TO_MAX_LOAD_RATIO;
    return (maxLoad - capacity.load(endpoint)) * estimates.traffic().share();
  }

  /** Subtracts the load that a table may bring to endpoints whose load no report shows. */
  private void subtractUnreportedLoad(ProxyState proxy, double[] headroom) {
    double share = estimates.traffic().share();
    for (Route route : proxy.table().routes()) {
      EndpointState endpoint = route.endpoint();
      if (endpoint.statistics().attemptRate() <= 0) {
        headroom[endpoint.index()] -= proxy.averageRate() * route.weight() * share;
      }
    }
  }

  /**
   * Keeps routes to full endpoints from growing, and reduces other routes only by as much as the
   * growing routes can take.
   */
  private static void limitTargets(ProxyState proxy, double[] headroom) {
    double added = 0;
    double removed = 0;
    for (Route route : proxy.table().routes()) {
      if (route.target() > route.weight() && headroom[route.endpoint().index()] <= 0) {
        route.setTarget(route.weight());
      }
      added += Math.max(0, route.target() - route.weight());
      removed += Math.max(0, route.weight() - route.target());
    }
    if (removed > added) {
      for (Route route : proxy.table().routes()) {
        if (route.target() < route.weight()) {
          double change = (route.target() - route.weight()) * added / removed;
          route.setTarget(route.weight() + change);
        }
      }
    }
  }

  /**
   * Returns whether a table changes enough, reduces the load of an endpoint enough, or gets a new
   * endpoint.
   */
  private boolean isWorthSending(ProxyState proxy) {
    List<Route> routes = proxy.table().routes();
    double change =
        routes.stream().mapToDouble(route -> Math.abs(route.target() - route.weight()) / 2).sum();
    boolean negligible = change < MIN_TABLE_CHANGE_SHARE;
    return !negligible
        || routes.stream().anyMatch(route -> relievesEndpoint(proxy, route))
        || proxy.replacements().values().stream()
            .anyMatch(newEndpoint -> entersTable(proxy, newEndpoint));
  }

  private static boolean relievesEndpoint(ProxyState proxy, Route route) {
    return -proxy.rateChange(route) > MIN_CAPACITY_CHANGE_SHARE * route.endpoint().capacity();
  }

  private boolean entersTable(ProxyState proxy, EndpointState newEndpoint) {
    return !proxy.table().hasAppliedRouteTo(newEndpoint) || endpoints.isWarm(newEndpoint);
  }

  /** Registers a move as waiting at each endpoint that has no headroom for it. */
  private static void registerWaiting(
      PendingMove move,
      double[] headroom,
      Map<EndpointState, List<PendingMove>> waitingByEndpoint) {
    for (Route route : move.proxy().table().routes()) {
      EndpointState endpoint = route.endpoint();
      if (move.addsLoadTo(route) && move.proxy().rateChange(route) > headroom[endpoint.index()]) {
        waitingByEndpoint.computeIfAbsent(endpoint, key -> new ArrayList<>()).add(move);
      }
    }
  }

  /**
   * Computes the potential update time (IV-B) of a move and of all moves that wait for it,
   * DeciMillis.
   */
  private double computePotentialUpdateTime(
      PendingMove move, Map<EndpointState, List<PendingMove>> waitingByEndpoint) {
    if (move.isOnSearchPath()) {
      return CYCLE_TIME_DECI_MILLIS;
    }
    if (move.isPotentialUpdateTimeKnown()) {
      return move.potentialUpdateTime();
    }
    move.setOnSearchPath(true);
    double longestWait = 0;
    for (Route route : move.proxy().table().routes()) {
      if (move.removesLoadFrom(route)) {
        for (PendingMove waiter : waitingByEndpoint.getOrDefault(route.endpoint(), List.of())) {
          longestWait =
              Math.max(longestWait, computePotentialUpdateTime(waiter, waitingByEndpoint));
        }
      }
    }
    move.setOnSearchPath(false);
    move.setPotentialUpdateTime(Math.min(CYCLE_TIME_DECI_MILLIS, channelTime(move) + longestWait));
    return move.potentialUpdateTime();
  }

  /** Returns the time that a move's message takes in the channel, DeciMillis. */
  private double channelTime(PendingMove move) {
    double entries =
        settings.channel().messageOverheadEntries()
            + move.proxy().table().routes().stream()
                .filter(route -> Route.differsSignificantly(route.target(), route.weight()))
                .count();
    return entries * DeciMillis.SECOND / settings.channel().entriesPerSecond();
  }

  /** Sends the moves that fit, in the given order; returns whether any move was sent. */
  private boolean admitMoves(List<PendingMove> moves, double[] headroom) {
    boolean admitted = false;
    for (PendingMove move : moves) {
      double yieldRatio = yieldRatio(move, headroom);
      boolean fits = yieldRatio <= 0 || isStarved(move, yieldRatio, headroom);
      if (fits && budget.hasRoomForRoutineUpdate(move.proxy())) {
        sendPart(move, 1 - yieldRatio, headroom);
        admitted = true;
      } else {
        move.proxy().incrementRoundsWaited();
      }
    }
    return admitted;
  }

  /**
   * Returns whether smaller moves have long taken the headroom of a move that relieves a full
   * endpoint. Such a move is sent at a reduced rate even though others are admitted.
   */
  private boolean isStarved(PendingMove move, double yieldRatio, double[] headroom) {
    ProxyState proxy = move.proxy();
    long waitedDeciMillis = proxy.roundsWaited() * settings.reportInterval();
    return yieldRatio < 1
        && waitedDeciMillis >= InFlightMoves.REPORTING_DELAY_DECI_MILLIS
        && proxy.table().routes().stream()
            .anyMatch(
                route -> proxy.rateChange(route) < 0 && headroom[route.endpoint().index()] < 0);
  }

  /** Sends the fitting part of the move with the lowest yield ratio. */
  private void resolveDeadlock(List<PendingMove> moves, double[] headroom) {
    moves.stream()
        .filter(
            move -> yieldRatio(move, headroom) < 1 && budget.hasRoomForRoutineUpdate(move.proxy()))
        .min(Comparator.comparingDouble(move -> yieldRatio(move, headroom)))
        .ifPresent(move -> sendPart(move, 1 - yieldRatio(move, headroom), headroom));
  }

  /**
   * Returns the paper's yield ratio: the share by which a move must be reduced until all endpoints
   * that it adds load to have headroom for the rest. It is 0 if the whole move fits, and 1 or more
   * if no part of it does.
   */
  private static double yieldRatio(PendingMove move, double[] headroom) {
    double fitting = 1;
    for (Route route : move.proxy().table().routes()) {
      if (move.addsLoadTo(route)) {
        double ratio = headroom[route.endpoint().index()] / move.proxy().rateChange(route);
        fitting = Math.min(fitting, ratio);
      }
    }
    return 1 - fitting;
  }

  /** Sends a share of a move, and subtracts the load that it adds from the headroom at once. */
  private void sendPart(PendingMove move, double share, double[] headroom) {
    for (Route route : move.proxy().table().routes()) {
      double change = move.proxy().rateChange(route) * share;
      headroom[route.endpoint().index()] -= Math.max(0, change);
    }
    updater.sendTable(move.proxy(), share);
  }
}
