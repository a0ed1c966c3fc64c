package stonespring.testbed.virtual;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointRecord;
import stonespring.model.RequestClass;
import stonespring.model.RetrySafety;
import stonespring.model.Settings;
import stonespring.recording.LoadSample;
import stonespring.recording.Recording;

/**
 * Loads drawn from a seed, each with one kind of trouble. Tasks are listed alike and can do unlike
 * work.
 */
public final class Loads {
  /** What a load is about. */
  public enum Kind {
    QUIET,
    SURGE,
    STALE_REPORTS,
    DEPLOY,
    HUGE_PROXY,
    LOST_ZONE
  }

  private static final int ZONES = 3;
  private static final int CORES = 2;
  private static final long EVERY = 1_000; // 0.1 ms over which ops are counted together
  private static final long LENGTH = 40 * DeciMillis.SECOND;
  private static final long TROUBLE =
      12 * DeciMillis.SECOND; // 0.1 ms; by then all decide by what they heard
  private static final long LIST_LATE = DeciMillis.SECOND; // 0.1 ms until the list tells
  private static final double FILL = 0.6; // share of what all tasks can do
  private static final double SURGE = 1.6; // times; a little under what all can do
  private static final double CLAIM = 3; // times the capacity, by a third of the tasks
  private static final long[] WORK = {600, 900, 1_200}; // 0.1 ms on a usual core
  private static final double[] SHARE = {0.6, 0.25, 0.15}; // of the ops, by type

  private final SplittableRandom random;
  private final List<LoadSample> moments = new ArrayList<>();
  private final Kind kind;
  private final int taskCount;
  private final int proxyCount;

  private Loads(Kind kind, long seed, int taskCount, int proxyCount) {
    this.kind = kind;
    this.random = new SplittableRandom(seed);
    this.taskCount = taskCount;
    this.proxyCount = proxyCount;
  }

  /** Draws a load; the same kind, seed and sizes give the same. At least 3 tasks and 1 proxy. */
  public static Recording draw(Kind kind, long seed, int tasks, int proxies) {
    return new Loads(kind, seed, tasks, proxies).draw(seed);
  }

  private static Settings settings(int proxies) {
    int lines = Math.max(2900, 120 * proxies);
    return new Settings(
        new Settings.Fleet(1, ZONES, proxies, false),
        List.of(
            new RequestClass(RetrySafety.IDEMPOTENT, 5_000, 3),
            new RequestClass(RetrySafety.IDEMPOTENCY_KEYED, 8_000, 3),
            new RequestClass(RetrySafety.NON_IDEMPOTENT, 6_000, 2)),
        new Settings.EndpointListRules(false, false),
        AdmissionLimitKind.FRACTION,
        new Settings.ChannelLimits(lines, 10, 30, 10 * DeciMillis.SECOND, lines, false),
        new Settings.RoutingRules(5 * DeciMillis.SECOND, 5, 0.12, 0.3, 3),
        new Settings.SlowStart(8 * DeciMillis.SECOND, 0.2, 3),
        DeciMillis.SECOND);
  }

  private Recording draw(long seed) {
    double able = 0;
    double[] speed = new double[taskCount];
    for (int t = 0; t < taskCount; t++) {
      speed[t] = 0.5 + random.nextDouble();
      able += CORES * speed[t] * DeciMillis.SECOND / meanWork();
      boolean claims = kind == Kind.STALE_REPORTS && t % 3 == 0;
      started(0, "t" + t, t % ZONES, speed[t], false, claims ? CLAIM : 1);
    }
    double[] size = new double[proxyCount];
    double all = 0;
    for (int p = 0; p < proxyCount; p++) {
      size[p] = Math.pow(1 - random.nextDouble(), -0.5);
      all += size[p];
    }
    if (kind == Kind.HUGE_PROXY && proxyCount > 1) {
      size[0] = (all - size[0]) / 2; // a third of all ops
      all = 3 * size[0];
    }
    double ops = FILL * able;
    List<Recording.ProxyInfo> proxies = new ArrayList<>();
    for (int p = 0; p < proxyCount; p++) {
      proxies.add(new Recording.ProxyInfo("p" + p, p % ZONES, size[p] / all * ops));
    }
    arrivals(proxies);
    if (kind == Kind.STALE_REPORTS) {
      moments.add(new LoadSample.ReportsDelayed(TROUBLE, 2 * DeciMillis.SECOND));
    } else if (kind == Kind.DEPLOY) {
      deploy(speed);
    } else if (kind == Kind.LOST_ZONE) {
      loseZone(speed);
    }
    moments.sort(Comparator.comparingLong(LoadSample::at));
    List<Recording.RequestClassInfo> types =
        List.of(
            new Recording.RequestClassInfo("view", 15_000, WORK[0]),
            new Recording.RequestClassInfo("sketch", 20_000, WORK[1]),
            new Recording.RequestClassInfo("extract", 15_000, WORK[2]));
    return new Recording(
        new Recording.Head(
            Recording.VERSION,
            kind.name().toLowerCase(java.util.Locale.ROOT) + "-" + seed,
            settings(proxyCount),
            List.of("west", "south", "east"),
            types,
            proxies,
            EVERY,
            LENGTH),
        moments);
  }

  private static double meanWork() {
    double mean = 0;
    for (int k = 0; k < WORK.length; k++) {
      mean += SHARE[k] * WORK[k];
    }
    return mean;
  }

  private void started(long at, String task, int zone, double speed, boolean cold, double claims) {
    moments.add(new LoadSample.ProcessChanged(at, task, zone, CORES, speed, cold));
    if (claims != 1) {
      moments.add(new LoadSample.CapacityClaimed(at, task, claims));
    }
    long told = at == 0 ? 0 : at + LIST_LATE;
    moments.add(
        new LoadSample.EndpointListed(
            told, task, zone, 1, EndpointRecord.State.READY, cold ? at : 0));
  }

  private void died(long at, String task, int zone, long toldAfter) {
    moments.add(new LoadSample.ProcessChanged(at, task, zone, 0, 1, false));
    moments.add(
        new LoadSample.EndpointListed(
            at + toldAfter, task, zone, 1, EndpointRecord.State.REMOVED, 0));
  }

  private void arrivals(List<Recording.ProxyInfo> proxies) {
    for (long at = EVERY; at < LENGTH; at += EVERY) {
      double times = kind == Kind.SURGE && at >= TROUBLE && at < 2 * TROUBLE ? SURGE : 1;
      for (int p = 0; p < proxies.size(); p++) {
        int[] came = new int[SHARE.length];
        boolean any = false;
        for (int k = 0; k < came.length; k++) {
          came[k] =
              poisson(
                  proxies.get(p).requestsPerSecond()
                      * times
                      * SHARE[k]
                      * EVERY
                      / DeciMillis.SECOND);
          any |= came[k] > 0;
        }
        if (any) {
          moments.add(new LoadSample.Arrivals(at, p, came));
        }
      }
    }
  }

  /** Knuth, The Art of Computer Programming, volume 2, section 3.4.1; the means here are small. */
  private int poisson(double mean) {
    double least = Math.exp(-mean);
    int count = 0;
    for (double product = random.nextDouble(); product > least; product *= random.nextDouble()) {
      count++;
    }
    return count;
  }

  /**
   * Six tenths of the tasks are replaced by cold ones, an eighth of the fleet at a time; each
   * drains for 3 s.
   */
  private void deploy(double[] speed) {
    int batch = Math.max(1, taskCount / 8);
    for (int t = 0; t < taskCount * 6 / 10; t++) {
      long at = TROUBLE + t / batch * 35_000L;
      started(at, "n" + t, t % ZONES, speed[t], true, 1);
      moments.add(
          new LoadSample.EndpointListed(
              at + 20_000, "t" + t, t % ZONES, 1, EndpointRecord.State.DRAINING, 0));
      died(at + 50_000, "t" + t, t % ZONES, LIST_LATE);
    }
  }

  private void loseZone(double[] speed) {
    for (int t = 0; t < taskCount; t += ZONES) {
      died(TROUBLE, "t" + t, 0, LIST_LATE);
      started(TROUBLE + 10 * DeciMillis.SECOND, "t" + t, 0, speed[t], true, 1);
    }
  }
}
