package stonespring.solver;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Selects routes for proxies that have no route, or no route to a warm endpoint, by weighted
 * rendezvous hashing (Schindelhauer and Schomaker, 2005). Each proxy's selection is independent of
 * the other proxies and stable: an endpoint that is added or removed changes only its own routes.
 */
final class RendezvousSelector {
  /** Minimum weight of a selected route, as a share of the proxy's rate. */
  private static final double MIN_WEIGHT = 0.004;

  /**
   * Minimum selection weight of an endpoint, as a share of the mean capacity, so that endpoints
   * without a target can be selected too.
   */
  private static final double MIN_SELECTION_SHARE = 1e-9;

  /**
   * Number of candidates in addition to twice the number of routes, because some endpoints that are
   * warming up cannot take another proxy.
   */
  private static final int SPARE_CANDIDATES = 8;

  /** Number of distinct CRC-32 values. */
  private static final double HASH_RANGE = 4294967296.0;

  private final Problem problem;
  private final Flow flow;
  private final WorkingTables tables;

  RendezvousSelector(Problem problem, Flow flow, WorkingTables tables) {
    this.problem = problem;
    this.flow = flow;
    this.tables = tables;
  }

  /**
   * Selects routes for all proxies that need them, in ascending order of their rates: endpoints
   * that are warming up can only take small proxies.
   */
  void selectMissingRoutes() {
    List<Integer> byAscendingDemand = new ArrayList<>();
    for (int p = 0; p < tables.proxyCount(); p++) {
      boolean lacksWarmRoute = !tables.hasWarmRoute(p) && tables.anyEndpointIsWarm();
      if (tables.routeCount(p) == 0 || lacksWarmRoute) {
        byAscendingDemand.add(p);
      }
    }
    if (byAscendingDemand.isEmpty()) {
      return;
    }
    byAscendingDemand.sort(Comparator.comparingDouble(tables::demand));
    int[] nameHashes = nameHashes();
    for (int proxy : byAscendingDemand) {
      selectRoutesFor(proxy, nameHashes);
    }
  }

  private int[] nameHashes() {
    int[] hashes = new int[problem.endpointCount()];
    for (int e = 0; e < hashes.length; e++) {
      CRC32 hash = new CRC32();
      hash.update(problem.endpoint(e).id().name().getBytes(StandardCharsets.UTF_8));
      hashes[e] = (int) hash.getValue();
    }
    return hashes;
  }

  private void selectRoutesFor(int proxy, int[] nameHashes) {
    double[] rank = ranks(proxy, nameHashes);
    int maxRoutes = tables.maxRoutes(proxy);
    boolean wasEmpty = tables.routeCount(proxy) == 0;
    for (int endpoint : candidates(rank, maxRoutes)) {
      if (wasEmpty && tables.routeCount(proxy) < maxRoutes && tables.canAddRoute(proxy, endpoint)) {
        tables.addRoute(proxy, endpoint, 0);
      }
    }
    if (tables.anyEndpointIsWarm() && !tables.hasWarmRoute(proxy)) {
      tables.addRoute(proxy, bestWarmEndpoint(rank), 0);
    }
    setRates(proxy, wasEmpty);
  }

  /**
   * Returns a pseudo-random rank for each endpoint, a function of the proxy's number and the
   * endpoint's name; the lower, the better. An endpoint's probability of the lowest rank is
   * proportional to its target for the proxy's zone.
   */
  private double[] ranks(int proxy, int[] nameHashes) {
    int zone = problem.zoneOfProxy(proxy);
    CRC32 hash = new CRC32();
    ByteBuffer key = ByteBuffer.allocate(2 * Integer.BYTES);
    double[] rank = new double[problem.endpointCount()];
    for (int e = 0; e < rank.length; e++) {
      key.putInt(0, problem.proxy(proxy).id().number()).putInt(Integer.BYTES, nameHashes[e]);
      hash.reset();
      hash.update(key.array());
      double uniform = (hash.getValue() + 0.5) / HASH_RANGE;
      double weight = Math.max(MIN_SELECTION_SHARE * tables.meanCapacity(), flow.target(zone, e));
      rank[e] = -Math.log(uniform) / weight;
    }
    return rank;
  }

  /**
   * Returns the endpoints of lowest rank, lowest first: twice the number of routes and {@link
   * #SPARE_CANDIDATES} more.
   */
  private static List<Integer> candidates(double[] rank, int routeCount) {
    double[] sorted = rank.clone();
    Arrays.sort(sorted);
    double maxRank = sorted[Math.min(sorted.length, 2 * routeCount + SPARE_CANDIDATES) - 1];
    List<Integer> candidates = new ArrayList<>();
    for (int e = 0; e < rank.length; e++) {
      if (rank[e] <= maxRank) {
        candidates.add(e);
      }
    }
    candidates.sort(Comparator.comparingDouble(e -> rank[e]));
    return candidates;
  }

  private int bestWarmEndpoint(double[] rank) {
    int best = Problem.NOT_FOUND;
    for (int e = 0; e < rank.length; e++) {
      boolean isLower = best == Problem.NOT_FOUND || rank[e] < rank[best];
      best = problem.endpoint(e).isWarm() && isLower ? e : best;
    }
    return best;
  }

  private void setRates(int proxy, boolean wasEmpty) {
    int zone = problem.zoneOfProxy(proxy);
    double minRate = MIN_SELECTION_SHARE * tables.meanCapacity();
    double demand = tables.demand(proxy);
    double sum = 0;
    for (int i = 0; i < tables.routeCount(proxy); i++) {
      sum += flow.target(zone, tables.endpoint(proxy, i)) + minRate;
    }
    for (int i = 0; i < tables.routeCount(proxy); i++) {
      double byTarget = demand * (flow.target(zone, tables.endpoint(proxy, i)) + minRate) / sum;
      double atLeast = Math.max(tables.rate(proxy, i), MIN_WEIGHT * demand);
      tables.setRate(proxy, i, wasEmpty ? byTarget : atLeast);
    }
  }
}
