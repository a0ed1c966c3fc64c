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
  private static final double MIN_DRAW_WEIGHT = 1e-9;

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
  void draw() {
    List<Integer> smallFirst = new ArrayList<>();
    for (int p = 0; p < tables.proxyCount(); p++) {
      boolean lacksWarm = !tables.hasWarmRoute(p) && tables.anyEndpointIsWarm();
      if (tables.size(p) == 0 || lacksWarm) {
        smallFirst.add(p);
      }
    }
    if (smallFirst.isEmpty()) {
      return;
    }
    smallFirst.sort(Comparator.comparingDouble(tables::demand));
    int[] nameHashes = nameHashes();
    for (int proxy : smallFirst) {
      drawFor(proxy, nameHashes);
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

  private void drawFor(int proxy, int[] nameHashes) {
    double[] rank = ranks(proxy, nameHashes);
    int count = tables.maxRoutes(proxy);
    boolean hadNone = tables.size(proxy) == 0;
    for (int endpoint : lowest(rank, count)) {
      if (hadNone && tables.size(proxy) < count && tables.mayAdd(proxy, endpoint)) {
        tables.add(proxy, endpoint, 0);
      }
    }
    if (tables.anyEndpointIsWarm() && !tables.hasWarmRoute(proxy)) {
      tables.add(proxy, lowestWarm(rank), 0);
    }
    setRates(proxy, hadNone);
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
      double draw = (hash.getValue() + 0.5) / HASH_RANGE;
      double weight = Math.max(MIN_DRAW_WEIGHT * tables.meanCapacity(), flow.target(zone, e));
      rank[e] = -Math.log(draw) / weight;
    }
    return rank;
  }

  /** The endpoints of lowest rank, lowest first, some more than wanted. */
  private static List<Integer> lowest(double[] rank, int wanted) {
    double[] sorted = rank.clone();
    Arrays.sort(sorted);
    double last = sorted[Math.min(sorted.length, 2 * wanted + SPARE_CANDIDATES) - 1];
    List<Integer> order = new ArrayList<>();
    for (int e = 0; e < rank.length; e++) {
      if (rank[e] <= last) {
        order.add(e);
      }
    }
    order.sort(Comparator.comparingDouble(e -> rank[e]));
    return order;
  }

  private int lowestWarm(double[] rank) {
    int lowest = Problem.UNKNOWN;
    for (int e = 0; e < rank.length; e++) {
      boolean isLower = lowest == Problem.UNKNOWN || rank[e] < rank[lowest];
      lowest = problem.endpoint(e).isWarm() && isLower ? e : lowest;
    }
    return lowest;
  }

  private void setRates(int proxy, boolean hadNone) {
    int zone = problem.zoneOfProxy(proxy);
    double least = MIN_DRAW_WEIGHT * tables.meanCapacity();
    double demand = tables.demand(proxy);
    double sum = 0;
    for (int i = 0; i < tables.size(proxy); i++) {
      sum += flow.target(zone, tables.endpoint(proxy, i)) + least;
    }
    for (int i = 0; i < tables.size(proxy); i++) {
      double byTarget = demand * (flow.target(zone, tables.endpoint(proxy, i)) + least) / sum;
      double atLeast = Math.max(tables.rate(proxy, i), MIN_WEIGHT * demand);
      tables.setRate(proxy, i, hadNone ? byTarget : atLeast);
    }
  }
}
