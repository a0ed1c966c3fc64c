package stonespring.testbed.virtual;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import stonespring.daemon.EngineHost;
import stonespring.daemon.HostEnvironment;
import stonespring.daemon.HostLimits;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.RequestClassId;
import stonespring.model.Settings;
import stonespring.model.ZoneId;
import stonespring.proxy.routing.RouterSettings;
import stonespring.recording.LoadSample;
import stonespring.recording.Recording;
import stonespring.solver.Plan;
import stonespring.solver.WeightAdvisor;
import stonespring.state.KeyUpdate;
import stonespring.state.ProxyReport;
import stonespring.testbed.StandIns;

/**
 * A fleet that replays a recorded load in virtual time: one instance that runs the production
 * engine host, proxies that run the production routing code, and simulated endpoints. The same
 * recording, policy and seed give the same result. Times are in {@link DeciMillis}. Not
 * thread-safe.
 */
public final class VirtualFleet {
  /** Network round-trip time between the instance and a proxy. */
  static final long CHANNEL_ROUND_TRIP_DECI_MILLIS = 200;

  /**
   * Time from the creation of a report until the instance processes it; recorded report delays are
   * added to it.
   */
  private static final long REPORT_DELAY_DECI_MILLIS = 3_000;

  /** Proxies connect at random times from 0 up to this time. */
  private static final long CONNECT_SPREAD_DECI_MILLIS = 5_000;

  /** How long endpoints recognize a repeated idempotency key. */
  private static final long DEDUPLICATION_WINDOW_DECI_MILLIS = 2 * DeciMillis.SECOND;

  private static final String INSTANCE_NAME = "e";
  private static final String PROXY_KEY_KIND = "proxy";

  private final EventQueue events = new EventQueue();
  private final Recording recording;
  private final Policy policy;
  private final long seed;
  private final SplittableRandom random;
  private final ReplayStatistics statistics;
  private final Map<String, VirtualEndpoint> endpoints = new HashMap<>();
  private final Map<String, VirtualProxy> proxiesByName = new LinkedHashMap<>();
  private final List<VirtualProxy> proxies = new ArrayList<>();
  private final EngineHost host;
  private final Optional<WeightAdvisor> advisor;
  private long extraReportDelayDeciMillis;
  private long nextWakeUpAt = Long.MAX_VALUE;
  private long planCount;

  /** Creates a fleet at the start of the recording. */
  public VirtualFleet(Recording recording, Policy policy, long seed) {
    this.recording = recording;
    this.policy = policy;
    this.seed = seed;
    this.random = new SplittableRandom(seed);
    this.statistics = new ReplayStatistics(recording.head().duration());
    // Do not reorder the following steps: their order determines the random draws.
    List<LoadSample> initial =
        recording.samples().stream().takeWhile(sample -> sample.at() == 0).toList();
    List<EndpointRecord> listed = applyInitialSamples(initial);
    Policy.PolicyEngine engine = policy.createEngine(settings(), random.nextLong(), 0);
    this.advisor = engine.advisor();
    this.host =
        new EngineHost(
            settings(),
            requestClassNames(),
            HostLimits.DEFAULT,
            INSTANCE_NAME,
            1,
            engine.engine(),
            new SimulatedEnvironment(),
            0);
    host.handleEndpointListUpdate(
        new Event.EndpointListUpdate(Event.ListUpdateKind.SNAPSHOT, listed), 0);
    createProxies(listed);
    proxies.forEach(this::scheduleConnect);
    recording.samples().stream()
        .skip(initial.size())
        .forEach(sample -> events.scheduleAt(sample.at(), () -> apply(sample)));
    runHost();
  }

  /** Applies the initial samples, except endpoint list entries, which are returned. */
  private List<EndpointRecord> applyInitialSamples(List<LoadSample> initial) {
    List<EndpointRecord> listed = new ArrayList<>();
    for (LoadSample sample : initial) {
      if (sample instanceof LoadSample.EndpointListed record) {
        listed.add(endpointRecord(record));
      } else {
        apply(sample);
      }
    }
    return listed;
  }

  private void createProxies(List<EndpointRecord> listed) {
    RouterSettings routing =
        StandIns.routerSettings(
            settings(), requestClassNames(), requestClass -> DEDUPLICATION_WINDOW_DECI_MILLIS);
    for (Recording.ProxyInfo recorded : recording.head().proxies()) {
      VirtualProxy proxy =
          new VirtualProxy(
              this, recorded, routing, drawBootstrapRoutes(recorded, listed), random.nextLong());
      proxies.add(proxy);
      proxiesByName.put(recorded.name(), proxy);
    }
  }

  private List<EndpointId> drawBootstrapRoutes(
      Recording.ProxyInfo proxy, List<EndpointRecord> listed) {
    List<EndpointId> candidates = new ArrayList<>();
    for (EndpointRecord endpoint : listed) {
      if (endpoint.zone().index() == proxy.zone()) {
        candidates.add(endpoint.endpoint());
      }
    }
    List<EndpointId> routes = new ArrayList<>();
    while (routes.size() < settings().routing().bootstrapRouteCount() && !candidates.isEmpty()) {
      routes.add(candidates.remove(random.nextInt(candidates.size())));
    }
    return routes;
  }

  private void scheduleConnect(VirtualProxy proxy) {
    events.scheduleAt(
        random.nextLong(CONNECT_SPREAD_DECI_MILLIS),
        () -> {
          proxy.connect(host);
          runHost();
          events.scheduleAfter(settings().reportInterval(), () -> sendReport(proxy));
        });
  }

  /**
   * Delivers published keys to the proxies. Endpoint list updates follow the recording, whether the
   * engine host requests them or not.
   */
  private final class SimulatedEnvironment implements HostEnvironment {
    @Override
    public void publish(List<KeyUpdate> updates) {
      for (KeyUpdate update : updates) {
        String[] key =
            update.key().split("/", 4); // instance, kind, proxy, key relative to the proxy
        if (key[1].equals(PROXY_KEY_KIND) && proxiesByName.containsKey(key[2])) {
          events.scheduleAfter(
              CHANNEL_ROUND_TRIP_DECI_MILLIS / 2,
              () -> proxiesByName.get(key[2]).receive(host, update, key[3]));
        }
      }
      events.scheduleAfter(CHANNEL_ROUND_TRIP_DECI_MILLIS / 2, VirtualFleet.this::runHost);
    }

    @Override
    public void watchEndpoints(boolean enabled) {
      // No request is needed: list updates follow the recording.
    }

    @Override
    public void fetchEndpoints() {
      // No request is needed: list updates follow the recording.
    }
  }

  private static EndpointRecord endpointRecord(LoadSample.EndpointListed listed) {
    return new EndpointRecord(
        new EndpointId(listed.endpoint()),
        new ZoneId(listed.zone()),
        listed.weight(),
        listed.state(),
        listed.startedAt());
  }

  private void apply(LoadSample sample) {
    if (sample instanceof LoadSample.Arrivals arrivals) {
      scheduleRequests(arrivals);
    } else if (sample instanceof LoadSample.EndpointListed listed) {
      host.handleEndpointListUpdate(
          new Event.EndpointListUpdate(Event.ListUpdateKind.DELTA, List.of(endpointRecord(listed))),
          events.now());
      runHost();
    } else if (sample instanceof LoadSample.ProcessChanged process) {
      endpoints
          .computeIfAbsent(
              process.endpoint(),
              name -> new VirtualEndpoint(events, settings(), random.nextLong()))
          .restart(process);
    } else if (sample instanceof LoadSample.CapacityClaimed claimed
        && endpoints.containsKey(claimed.endpoint())) {
      endpoints.get(claimed.endpoint()).claimCapacity(claimed.multiple());
    } else if (sample instanceof LoadSample.ReportsDelayed delayed) {
      extraReportDelayDeciMillis = delayed.delay();
    }
  }

  /**
   * Schedules the requests of a sample at random times in the interval after it. They were counted
   * in the interval before it, which lies in the past.
   */
  private void scheduleRequests(LoadSample.Arrivals arrivals) {
    for (int index = 0; index < arrivals.requests().length; index++) {
      RequestClassId requestClass = new RequestClassId(index);
      for (int count = 0; count < arrivals.requests()[index]; count++) {
        events.scheduleAfter(
            random.nextLong(recording.head().sampleInterval()),
            () -> VirtualRequest.send(this, proxies.get(arrivals.proxy()), requestClass));
      }
    }
  }

  private void sendReport(VirtualProxy proxy) {
    ProxyReport report = proxy.report(settings().reportInterval());
    events.scheduleAfter(
        REPORT_DELAY_DECI_MILLIS + extraReportDelayDeciMillis,
        () -> {
          host.handleReport(proxy.name(), report, proxy);
          runHost();
        });
    events.scheduleAfter(settings().reportInterval(), () -> sendReport(proxy));
  }

  /** Runs the due work of the instance and schedules the next run. */
  private void runHost() {
    Optional<Plan> previousPlan = plan();
    long nextDueAt = host.runDue(events.now());
    if (isNewPlan(previousPlan, plan())) {
      planCount++;
    }
    if (nextDueAt < nextWakeUpAt || nextWakeUpAt <= events.now()) {
      nextWakeUpAt = Math.max(nextDueAt, events.now() + 1);
      long wakeUpAt = nextWakeUpAt;
      events.scheduleAt(
          wakeUpAt,
          () -> {
            if (wakeUpAt == nextWakeUpAt) {
              runHost();
            }
          });
    }
  }

  /** Compares plans by identity, because a new plan may equal the previous one. */
  private static boolean isNewPlan(Optional<Plan> previous, Optional<Plan> current) {
    return current.isPresent() && current.get() != previous.orElse(null);
  }

  private List<String> requestClassNames() {
    return recording.head().requestClasses().stream()
        .map(Recording.RequestClassInfo::name)
        .toList();
  }

  EventQueue events() {
    return events;
  }

  ReplayStatistics statistics() {
    return statistics;
  }

  Settings settings() {
    return recording.head().settings();
  }

  int requestClassCount() {
    return recording.head().requestClasses().size();
  }

  Recording.RequestClassInfo recordedClass(RequestClassId requestClass) {
    return recording.head().requestClasses().get(requestClass.index());
  }

  /** Returns an endpoint; empty if it has not been started so far in the recording. */
  Optional<VirtualEndpoint> endpoint(EndpointId endpoint) {
    return Optional.ofNullable(endpoints.get(endpoint.name()));
  }

  /**
   * Replays up to an instant, or to the end of the recording if that is earlier.
   *
   * @param until in deci-milliseconds since the start of the recording
   */
  public void replayUntil(long until) {
    events.runUntil(Math.min(until, recording.head().duration()));
  }

  /**
   * Returns the plan of the weight solver's last round; empty if that round made none, or if the
   * policy has no solver.
   */
  public Optional<Plan> plan() {
    return advisor.flatMap(WeightAdvisor::plan);
  }

  /**
   * Replays to the end of the recording, continues for the longest request timeout so that pending
   * requests end, and returns the result.
   */
  public ReplayResult replay() {
    long duration = recording.head().duration();
    replayUntil(duration);
    long longestTimeout =
        recording.head().requestClasses().stream()
            .mapToLong(Recording.RequestClassInfo::timeout)
            .max()
            .orElse(0);
    events.runUntil(duration + longestTimeout);
    return new ReplayResult(
        policy,
        seed,
        statistics.windows(),
        new ReplayResult.AttemptTotals(
            statistics.connections(),
            statistics.crossZoneFraction(),
            endpoints.values().stream()
                .mapToDouble(VirtualEndpoint::peakWarmUpLoad)
                .max()
                .orElse(0)),
        new ReplayResult.RouteTotals(
            statistics.routeChanges(),
            proxies.stream().mapToDouble(VirtualProxy::secondsWithoutRoutes).sum(),
            planCount));
  }
}
