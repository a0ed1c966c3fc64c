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
 * Generates random loads from a seed, each with one kind of disturbance. Endpoints have the same
 * weight in the endpoint list but different speeds. Times are in {@link DeciMillis}.
 */
public final class LoadGenerator {
  /** The kinds of disturbance. Their lower-case names are used on the command line. */
  public enum Kind {
    /** No disturbance. */
    QUIET,
    /** The request rate is higher for a limited time. */
    SURGE,
    /** Reports arrive late, and some endpoints claim more capacity than they have. */
    STALE_REPORTS,
    /** 60% of the endpoints are replaced in batches. */
    DEPLOY,
    /** One proxy receives a third of all requests. */
    HUGE_PROXY,
    /** All endpoints of a zone stop and restart later. */
    LOST_ZONE
  }

  private static final List<String> ZONES = List.of("west", "south", "east");
  private static final int CORES = 2;

  /** Interval over which arrivals are counted in one sample. */
  private static final long SAMPLE_INTERVAL_DECI_MILLIS = 1_000;

  private static final long DURATION_DECI_MILLIS = 40 * DeciMillis.SECOND;

  /** When the disturbance starts; route tables have settled by then. */
  private static final long DISTURBANCE_START_DECI_MILLIS = 12 * DeciMillis.SECOND;

  private static final long SURGE_END_DECI_MILLIS = 2 * DISTURBANCE_START_DECI_MILLIS;

  /** Delay before the endpoint list shows a change. */
  private static final long LIST_DELAY_DECI_MILLIS = DeciMillis.SECOND;

  /** Undisturbed request rate as a fraction of the total capacity. */
  private static final double BASE_UTILIZATION = 0.6;

  /** Request rate during a surge as a multiple of the undisturbed rate; just below the capacity. */
  private static final double SURGE_MULTIPLE = 1.6;

  /** Multiple of its real capacity that a claiming endpoint reports. */
  private static final double CLAIMED_CAPACITY_MULTIPLE = 3;

  /** Every endpoint whose index is a multiple of this number claims too much capacity. */
  private static final int CLAIMING_ENDPOINT_STRIDE = 3;

  /** Additional delay of reports from the disturbance on. */
  private static final long EXTRA_REPORT_DELAY_DECI_MILLIS = 2 * DeciMillis.SECOND;

  /**
   * Exponent that turns a uniform draw into a Pareto-distributed proxy size: -1 divided by the
   * shape of the distribution.
   */
  private static final double PROXY_SIZE_EXPONENT = -0.5;

  /**
   * Lowest speed of an endpoint; speeds are uniformly distributed from this value to 1 above it.
   */
  private static final double MIN_SPEED = 0.5;

  private static final int DEPLOY_BATCHES = 8; // batches that it takes to replace all endpoints
  private static final long DEPLOY_BATCH_INTERVAL_DECI_MILLIS = 35_000;

  /** Delay from the start of a batch until its old endpoints are listed as draining. */
  private static final long DEPLOY_DRAIN_DELAY_DECI_MILLIS = 2 * DeciMillis.SECOND;

  /** Delay from the start of a batch until its old endpoints stop. */
  private static final long DEPLOY_STOP_DELAY_DECI_MILLIS = 5 * DeciMillis.SECOND;

  private static final long ZONE_OUTAGE_DURATION_DECI_MILLIS = 10 * DeciMillis.SECOND;

  /** Mean time that a request takes on a core of speed 1, by request class. */
  private static final long[] MEAN_WORK_DECI_MILLIS = {600, 900, 1_200};

  /** Fractions of the requests, by request class. */
  private static final double[] CLASS_FRACTIONS = {0.6, 0.25, 0.15};

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
   * @param endpoints number of endpoints, at least 3
   * @param proxies number of proxies, at least 1
   */
  public static Recording generate(Kind kind, long seed, int endpoints, int proxies) {
    return new LoadGenerator(kind, seed, endpoints, proxies).generate();
  }

  private Recording generate() {
    // Do not reorder the following steps: their order determines the random draws.
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
                new Recording.RequestClassInfo("view", 15_000, MEAN_WORK_DECI_MILLIS[0]),
                new Recording.RequestClassInfo("sketch", 20_000, MEAN_WORK_DECI_MILLIS[1]),
                new Recording.RequestClassInfo("extract", 15_000, MEAN_WORK_DECI_MILLIS[2])),
            proxies,
            SAMPLE_INTERVAL_DECI_MILLIS,
            DURATION_DECI_MILLIS);
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
        new Settings.EndpointListRules(
            false, false, Settings.EndpointListRules.UNLIMITED_NOTIFICATION_DELAY),
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

  /** Returns the total capacity of all endpoints in requests per second. */
  private static double capacity(double[] speeds) {
    double capacity = 0;
    for (double speed : speeds) {
      capacity += CORES * speed * DeciMillis.SECOND / meanWorkDeciMillis();
    }
    return capacity;
  }

  private static double meanWorkDeciMillis() {
    double mean = 0;
    for (int index = 0; index < MEAN_WORK_DECI_MILLIS.length; index++) {
      mean += CLASS_FRACTIONS[index] * MEAN_WORK_DECI_MILLIS[index];
    }
    return mean;
  }

  /** Adds endpoints that are running, warmed up and listed at the start of the load. */
  private void startEndpoints(double[] speeds) {
    for (int index = 0; index < endpointCount; index++) {
      String name = originalName(index);
      samples.add(new LoadSample.ProcessChanged(0, name, zone(index), CORES, speeds[index], false));
      if (kind == Kind.STALE_REPORTS && index % CLAIMING_ENDPOINT_STRIDE == 0) {
        samples.add(new LoadSample.CapacityClaimed(0, name, CLAIMED_CAPACITY_MULTIPLE));
      }
      addListed(0, name, zone(index), EndpointRecord.State.READY, 0);
    }
  }

  /**
   * Draws proxies with different request rates.
   *
   * @param requestRate total rate of all proxies, requests per second
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
    for (long at = SAMPLE_INTERVAL_DECI_MILLIS;
        at < DURATION_DECI_MILLIS;
        at += SAMPLE_INTERVAL_DECI_MILLIS) {
      boolean surging =
          kind == Kind.SURGE && at >= DISTURBANCE_START_DECI_MILLIS && at < SURGE_END_DECI_MILLIS;
      for (int index = 0; index < proxies.size(); index++) {
        addArrivals(
            at,
            index,
            proxies.get(index).usualRequestsPerSecond() * (surging ? SURGE_MULTIPLE : 1));
      }
    }
  }

  private void addArrivals(long at, int proxy, double requestRate) {
    int[] counts = new int[CLASS_FRACTIONS.length];
    boolean hasArrivals = false;
    for (int index = 0; index < counts.length; index++) {
      counts[index] =
          drawPoisson(
              requestRate
                  * CLASS_FRACTIONS[index]
                  * SAMPLE_INTERVAL_DECI_MILLIS
                  / DeciMillis.SECOND);
      hasArrivals |= counts[index] > 0;
    }
    if (hasArrivals) {
      samples.add(new LoadSample.Arrivals(at, proxy, counts));
    }
  }

  /**
   * Draws from a Poisson distribution by multiplication of uniform draws (Knuth, The Art of
   * Computer Programming, volume 2, section 3.4.1). Its running time is proportional to the mean,
   * which is small here.
   */
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
      samples.add(
          new LoadSample.ReportsDelayed(
              DISTURBANCE_START_DECI_MILLIS, EXTRA_REPORT_DELAY_DECI_MILLIS));
    } else if (kind == Kind.DEPLOY) {
      addDeploy(speeds);
    } else if (kind == Kind.LOST_ZONE) {
      addZoneOutage(speeds);
    }
  }

  /** Replaces 60% of the endpoints with new ones; the old ones drain before they stop. */
  private void addDeploy(double[] speeds) {
    int batchSize = Math.max(1, endpointCount / DEPLOY_BATCHES);
    for (int index = 0; index < endpointCount * 6 / 10; index++) {
      long at =
          DISTURBANCE_START_DECI_MILLIS + index / batchSize * DEPLOY_BATCH_INTERVAL_DECI_MILLIS;
      addColdStart(at, "n" + index, zone(index), speeds[index]);
      addListed(
          at + DEPLOY_DRAIN_DELAY_DECI_MILLIS,
          originalName(index),
          zone(index),
          EndpointRecord.State.DRAINING,
          0);
      addStop(at + DEPLOY_STOP_DELAY_DECI_MILLIS, originalName(index), zone(index));
    }
  }

  /** Stops the endpoints of the first zone and restarts them after the outage. */
  private void addZoneOutage(double[] speeds) {
    for (int index = 0; index < endpointCount; index += ZONES.size()) {
      addStop(DISTURBANCE_START_DECI_MILLIS, originalName(index), 0);
      addColdStart(
          DISTURBANCE_START_DECI_MILLIS + ZONE_OUTAGE_DURATION_DECI_MILLIS,
          originalName(index),
          0,
          speeds[index]);
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
    addListed(at + LIST_DELAY_DECI_MILLIS, endpoint, zone, EndpointRecord.State.READY, at);
  }

  private void addStop(long at, String endpoint, int zone) {
    samples.add(new LoadSample.ProcessChanged(at, endpoint, zone, 0, 1, false));
    addListed(at + LIST_DELAY_DECI_MILLIS, endpoint, zone, EndpointRecord.State.REMOVED, 0);
  }

  private void addListed(
      long at, String endpoint, int zone, EndpointRecord.State state, long startedAt) {
    samples.add(new LoadSample.EndpointListed(at, endpoint, zone, 1, state, startedAt));
  }
}
