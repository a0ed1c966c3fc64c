package stonespring.solver;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Draws routes for proxies that have none, or no warm one, by weighted rendezvous hashing
 * (Schindelhauer and Schomaker, 2005): each proxy by itself finds the same endpoints again, and an
 * endpoint that comes or goes moves only its own routes.
 */
final class RendezvousSelector {
  /** Share of a proxy's rate that a drawn route has at least. */
  private static final double MIN_WEIGHT = 0.004;

  /** Share of the mean capacity that every endpoint weighs at least in a draw. */
  private static final double MIN_SELECTION_SHARE = 1e-9;

  /** Endpoints looked at beyond twice those wanted, as some that warm up may have no room. */
  private static final int SPARE_CANDIDATES = 8;

  private static final double HASH_RANGE = 4294967296.0;

  private final Problem problem;
  private final Flow flow;
  private final WorkingTables tables;

  RendezvousSelector(Problem problem, Flow flow, WorkingTables tables) {
    this.problem = problem;
    this.flow = flow;
    this.tables = tables;
  }

  /** Draws for all proxies in need, small ones first: endpoints that warm up are theirs. */
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

  /** The endpoints of lowest rank, lowest first, some more than wanted. */
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
