package stonespring.testbed.virtual;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
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
 * Generates recorded loads from a seed, each with one kind of disturbance. Endpoints have equal
 * weights in the list and unequal speeds. Times are in {@link DeciMillis}.
 */
public final class LoadGenerator {
  /** What disturbs a load. The names are those of the command line. */
  public enum Kind {
    /** Nothing. */
    QUIET,
    /** More requests for a while. */
    SURGE,
    /** Reports are late, and some endpoints claim more capacity than they have. */
    STALE_REPORTS,
    /** Most endpoints are replaced, a batch at a time. */
    DEPLOY,
    /** One proxy has a third of all requests. */
    HUGE_PROXY,
    /** All endpoints of a zone fail, and come back later. */
    LOST_ZONE
  }

  private static final List<String> ZONES = List.of("west", "south", "east");
  private static final int CORES = 2;

  /** The span over which requests are counted together, deci-milliseconds. */
  private static final long SAMPLE_INTERVAL = 1_000;

  private static final long DURATION = 40 * DeciMillis.SECOND;

  /** When a disturbance starts; route tables have settled by then. */
  private static final long DISTURBANCE_START = 12 * DeciMillis.SECOND;

  private static final long SURGE_END = 2 * DISTURBANCE_START;

  /** Time after which the endpoint list shows a change. */
  private static final long LIST_DELAY = DeciMillis.SECOND;

  /** Usual request rate as a fraction of the capacity of all endpoints. */
  private static final double BASE_UTILIZATION = 0.6;

  /** The request rate of a surge in multiples of the usual one, just below the capacity. */
  private static final double SURGE_MULTIPLE = 1.6;

  /** Multiple of its capacity that every such endpoint claims. */
  private static final double CLAIMED_CAPACITY_MULTIPLE = 3;

  private static final int CLAIMING_ENDPOINT_INTERVAL = 3;
  private static final long EXTRA_REPORT_DELAY = 2 * DeciMillis.SECOND;

  /** Pareto distributed proxy sizes: this is -1 divided by the distribution's shape. */
  private static final double PROXY_SIZE_EXPONENT = -0.5;

  private static final double MIN_SPEED = 0.5;

  private static final int DEPLOY_BATCHES = 8; // in which all endpoints would be replaced
  private static final long DEPLOY_BATCH_INTERVAL = 35_000;
  private static final long DEPLOY_DRAIN_DELAY = 2 * DeciMillis.SECOND;
  private static final long DEPLOY_STOP_DELAY = 5 * DeciMillis.SECOND;
  private static final long ZONE_OUTAGE = 10 * DeciMillis.SECOND;

  /** Mean work of a request on a core of speed 1, by request class. */
  private static final long[] WORK = {600, 900, 1_200};

  /** Fraction of the requests, by request class. */
  private static final double[] CLASS_FRACTION = {0.6, 0.25, 0.15};

  private final SplittableRandom random;
  private final List<LoadSample> samples = new ArrayList<>();
  private final Kind kind;
  private final long seed;
  private final int endpointCount;
  private final int proxyCount;

  private LoadGenerator(Kind kind, long seed, int endpointCount, int proxyCount) {
    this.kind = kind;
    this.seed = seed;
    this.random = new SplittableRandom(seed);
    this.endpointCount = endpointCount;
    this.proxyCount = proxyCount;
  }

  /**
   * Generates a load; equal arguments give equal loads.
   *
   * @param endpoints how many, at least 3
   * @param proxies how many, at least 1
   */
  public static Recording generate(Kind kind, long seed, int endpoints, int proxies) {
    return new LoadGenerator(kind, seed, endpoints, proxies).generate();
  }

  private Recording generate() {
    // The order of the steps is that of the random draws.
    double[] speeds = drawSpeeds();
    startEndpoints(speeds);
    List<Recording.ProxyInfo> proxies = drawProxies(BASE_UTILIZATION * capacity(speeds));
    addArrivals(proxies);
    addDisturbance(speeds);
    samples.sort(Comparator.comparingLong(LoadSample::at));
    Recording.Head head =
        new Recording.Head(
            Recording.VERSION,
            kind.name().toLowerCase(Locale.ROOT) + "-" + seed,
            settings(),
            ZONES,
            List.of(
                new Recording.RequestClassInfo("view", 15_000, WORK[0]),
                new Recording.RequestClassInfo("sketch", 20_000, WORK[1]),
                new Recording.RequestClassInfo("extract", 15_000, WORK[2])),
            proxies,
            SAMPLE_INTERVAL,
            DURATION);
    return new Recording(head, samples);
  }

  private Settings settings() {
    int channelEntries = Math.max(2900, 120 * proxyCount);
    return new Settings(
        new Settings.Fleet(1, ZONES.size(), proxyCount, false),
        List.of(
            new RequestClass(RetrySafety.IDEMPOTENT, 5_000, 3),
            new RequestClass(RetrySafety.IDEMPOTENCY_KEYED, 8_000, 3),
            new RequestClass(RetrySafety.NON_IDEMPOTENT, 6_000, 2)),
        new Settings.EndpointListRules(false, false),
        AdmissionLimitKind.FRACTION,
        new Settings.ChannelLimits(
            channelEntries, 10, 30, 10 * DeciMillis.SECOND, channelEntries, false),
        new Settings.RoutingRules(5 * DeciMillis.SECOND, 5, 0.12, 0.3, 3),
        new Settings.SlowStart(8 * DeciMillis.SECOND, 0.2, 3),
        DeciMillis.SECOND);
  }

  private double[] drawSpeeds() {
    double[] speeds = new double[endpointCount];
    for (int index = 0; index < endpointCount; index++) {
      speeds[index] = MIN_SPEED + random.nextDouble();
    }
    return speeds;
  }

  /** Requests per second that all endpoints together can serve. */
  private static double capacity(double[] speeds) {
    double capacity = 0;
    for (double speed : speeds) {
      capacity += CORES * speed * DeciMillis.SECOND / meanWork();
    }
    return capacity;
  }

  private static double meanWork() {
    double mean = 0;
    for (int index = 0; index < WORK.length; index++) {
      mean += CLASS_FRACTION[index] * WORK[index];
    }
    return mean;
  }

  /** Adds endpoints that run, warmed up and listed, from the start of the load. */
  private void startEndpoints(double[] speeds) {
    for (int index = 0; index < endpointCount; index++) {
      String name = originalName(index);
      samples.add(new LoadSample.ProcessChanged(0, name, zone(index), CORES, speeds[index], false));
      if (kind == Kind.STALE_REPORTS && index % CLAIMING_ENDPOINT_INTERVAL == 0) {
        samples.add(new LoadSample.CapacityClaimed(0, name, CLAIMED_CAPACITY_MULTIPLE));
      }
      addListed(0, name, zone(index), EndpointRecord.State.READY, 0);
    }
  }

  /**
   * Draws proxies of unequal size.
   *
   * @param requestRate of all proxies together, requests per second
   */
  private List<Recording.ProxyInfo> drawProxies(double requestRate) {
    double[] sizes = new double[proxyCount];
    double total = 0;
    for (int index = 0; index < proxyCount; index++) {
      sizes[index] = Math.pow(1 - random.nextDouble(), PROXY_SIZE_EXPONENT);
      total += sizes[index];
    }
    if (kind == Kind.HUGE_PROXY && proxyCount > 1) {
      sizes[0] = (total - sizes[0]) / 2;
      total = 3 * sizes[0];
    }
    List<Recording.ProxyInfo> proxies = new ArrayList<>();
    for (int index = 0; index < proxyCount; index++) {
      proxies.add(
          new Recording.ProxyInfo("p" + index, zone(index), sizes[index] / total * requestRate));
    }
    return proxies;
  }

  private void addArrivals(List<Recording.ProxyInfo> proxies) {
    for (long at = SAMPLE_INTERVAL; at < DURATION; at += SAMPLE_INTERVAL) {
      boolean surging = kind == Kind.SURGE && at >= DISTURBANCE_START && at < SURGE_END;
      for (int index = 0; index < proxies.size(); index++) {
        addArrivals(
            at,
            index,
            proxies.get(index).usualRequestsPerSecond() * (surging ? SURGE_MULTIPLE : 1));
      }
    }
  }

  private void addArrivals(long at, int proxy, double requestRate) {
    int[] counts = new int[CLASS_FRACTION.length];
    boolean any = false;
    for (int index = 0; index < counts.length; index++) {
      counts[index] =
          drawPoisson(requestRate * CLASS_FRACTION[index] * SAMPLE_INTERVAL / DeciMillis.SECOND);
      any |= counts[index] > 0;
    }
    if (any) {
      samples.add(new LoadSample.Arrivals(at, proxy, counts));
    }
  }

  /** Knuth, The Art of Computer Programming, volume 2, section 3.4.1; the means here are small. */
  private int drawPoisson(double mean) {
    double limit = Math.exp(-mean);
    int count = 0;
    for (double product = random.nextDouble(); product > limit; product *= random.nextDouble()) {
      count++;
    }
    return count;
  }

  private void addDisturbance(double[] speeds) {
    if (kind == Kind.STALE_REPORTS) {
      samples.add(new LoadSample.ReportsDelayed(DISTURBANCE_START, EXTRA_REPORT_DELAY));
    } else if (kind == Kind.DEPLOY) {
      addDeploy(speeds);
    } else if (kind == Kind.LOST_ZONE) {
      addZoneOutage(speeds);
    }
  }

  /** Replaces six tenths of the endpoints by new ones; the old ones drain before they stop. */
  private void addDeploy(double[] speeds) {
    int batchSize = Math.max(1, endpointCount / DEPLOY_BATCHES);
    for (int index = 0; index < endpointCount * 6 / 10; index++) {
      long at = DISTURBANCE_START + index / batchSize * DEPLOY_BATCH_INTERVAL;
      addColdStart(at, "n" + index, zone(index), speeds[index]);
      addListed(
          at + DEPLOY_DRAIN_DELAY,
          originalName(index),
          zone(index),
          EndpointRecord.State.DRAINING,
          0);
      addStop(at + DEPLOY_STOP_DELAY, originalName(index), zone(index));
    }
  }

  /** Stops the endpoints of the first zone, and starts them anew after the outage. */
  private void addZoneOutage(double[] speeds) {
    for (int index = 0; index < endpointCount; index += ZONES.size()) {
      addStop(DISTURBANCE_START, originalName(index), 0);
      addColdStart(DISTURBANCE_START + ZONE_OUTAGE, originalName(index), 0, speeds[index]);
    }
  }

  private static String originalName(int index) {
    return "t" + index;
  }

  private static int zone(int index) {
    return index % ZONES.size();
  }

  private void addColdStart(long at, String endpoint, int zone, double speed) {
    samples.add(new LoadSample.ProcessChanged(at, endpoint, zone, CORES, speed, true));
    addListed(at + LIST_DELAY, endpoint, zone, EndpointRecord.State.READY, at);
  }

  private void addStop(long at, String endpoint, int zone) {
    samples.add(new LoadSample.ProcessChanged(at, endpoint, zone, 0, 1, false));
    addListed(at + LIST_DELAY, endpoint, zone, EndpointRecord.State.REMOVED, 0);
  }

  private void addListed(
      long at, String endpoint, int zone, EndpointRecord.State state, long startedAt) {
    samples.add(new LoadSample.EndpointListed(at, endpoint, zone, 1, state, startedAt));
  }
}
