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
 * A fleet in virtual time that plays a recorded load: one instance with the real engine host,
 * proxies with the real routing, simulated endpoints. The same recording, policy and seed give the
 * same result. Times are in {@link DeciMillis}. Not thread-safe.
 */
public final class VirtualFleet {
  /** From the instance to a proxy and back, deci-milliseconds. */
  static final long CHANNEL_ROUND_TRIP = 200;

  /** Time that a report takes to the instance while reports are not delayed, deci-milliseconds. */
  private static final long REPORT_DELAY = 3_000;

  /** Proxies connect at instants drawn from the first so many deci-milliseconds. */
  private static final long CONNECT_SPREAD = 5_000;

  /** How long endpoints recognise a repeated idempotency key, deci-milliseconds. */
  private static final long DEDUPLICATION_WINDOW = 2 * DeciMillis.SECOND;

  private static final String INSTANCE_NAME = "e";
  private static final String PROXY_KEYS = "proxy";

  private final EventQueue events = new EventQueue();
  private final Recording recording;
  private final Policy policy;
  private final long seed;
  private final SplittableRandom random;
  private final PlayStatistics statistics;
  private final Map<String, VirtualEndpoint> endpoints = new HashMap<>();
  private final Map<String, VirtualProxy> proxiesByName = new LinkedHashMap<>();
  private final List<VirtualProxy> proxies = new ArrayList<>();
  private final EngineHost host;
  private final Optional<WeightAdvisor> advisor;
  private long extraReportDelay;
  private long nextWakeUp = Long.MAX_VALUE;
  private long plans;

  /** Creates a fleet at the start of a recording. */
  public VirtualFleet(Recording recording, Policy policy, long seed) {
    this.recording = recording;
    this.policy = policy;
    this.seed = seed;
    this.random = new SplittableRandom(seed);
    this.statistics = new PlayStatistics(recording.head().duration());
    // The order of the steps from here is that of the random draws.
    List<LoadSample> initial =
        recording.samples().stream().takeWhile(sample -> sample.at() == 0).toList();
    List<EndpointRecord> listed = applyInitial(initial);
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
            new Environment(),
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

  /** Applies all that holds at the start but the endpoint list, and returns that. */
  private List<EndpointRecord> applyInitial(List<LoadSample> initial) {
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
            settings(), requestClassNames(), requestClass -> DEDUPLICATION_WINDOW);
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
        random.nextLong(CONNECT_SPREAD),
        () -> {
          proxy.connect(host);
          runHost();
          events.scheduleAfter(settings().reportInterval(), () -> sendReport(proxy));
        });
  }

  /** Delivers published keys to proxies. The endpoint list comes as recorded, asked for or not. */
  private final class Environment implements HostEnvironment {
    @Override
    public void publish(List<KeyUpdate> updates) {
      for (KeyUpdate update : updates) {
        String[] key = update.key().split("/", 4); // instance, kind, proxy, key of the proxy
        if (key[1].equals(PROXY_KEYS) && proxiesByName.containsKey(key[2])) {
          events.scheduleAfter(
              CHANNEL_ROUND_TRIP / 2,
              () -> proxiesByName.get(key[2]).receive(host, update, key[3]));
        }
      }
      events.scheduleAfter(CHANNEL_ROUND_TRIP / 2, VirtualFleet.this::runHost);
    }

    @Override
    public void watchEndpoints(boolean enabled) {
      // Recorded list updates come anyway.
    }

    @Override
    public void fetchEndpoints() {
      // Recorded list updates come anyway.
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
      extraReportDelay = delayed.delay();
    }
  }

  /**
   * Schedules requests that were counted over the span before the sample in the span after it, as
   * they can't be sent in the past.
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
        REPORT_DELAY + extraReportDelay,
        () -> {
          host.handleReport(proxy.name(), report, proxy);
          runHost();
        });
    events.scheduleAfter(settings().reportInterval(), () -> sendReport(proxy));
  }

  /** Runs what is due at the instance, and schedules the next run. */
  private void runHost() {
    Optional<Plan> before = plan();
    long nextDue = host.runDue(events.now());
    if (isNewPlan(before, plan())) {
      plans++;
    }
    if (nextDue < nextWakeUp || nextWakeUp <= events.now()) {
      nextWakeUp = Math.max(nextDue, events.now() + 1);
      long wakeUp = nextWakeUp;
      events.scheduleAt(
          wakeUp,
          () -> {
            if (wakeUp == nextWakeUp) {
              runHost();
            }
          });
    }
  }

  /** Plans are compared by identity: a round may make an equal one anew. */
  private static boolean isNewPlan(Optional<Plan> before, Optional<Plan> after) {
    return after.isPresent() && after.get() != before.orElse(null);
  }

  private List<String> requestClassNames() {
    return recording.head().requestClasses().stream()
        .map(Recording.RequestClassInfo::name)
        .toList();
  }

  EventQueue events() {
    return events;
  }

  PlayStatistics statistics() {
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

  /** The endpoint of that name; empty if the recording never started one. */
  Optional<VirtualEndpoint> endpoint(EndpointId endpoint) {
    return Optional.ofNullable(endpoints.get(endpoint.name()));
  }

  /** Plays on until an instant, or until the end of the recording if that is earlier. */
  public void playTo(long until) {
    events.runUntil(Math.min(until, recording.head().duration()));
  }

  /**
   * The weight solver's last plan; empty if its last round brought none, or if the policy is
   * without solver.
   */
  public Optional<Plan> plan() {
    return advisor.flatMap(WeightAdvisor::plan);
  }

  /** Plays to the end of the recording, waits for pending requests, and returns the result. */
  public PlayResult play() {
    long duration = recording.head().duration();
    playTo(duration);
    long longestTimeout =
        recording.head().requestClasses().stream()
            .mapToLong(Recording.RequestClassInfo::timeout)
            .max()
            .orElse(0);
    events.runUntil(duration + longestTimeout);
    return new PlayResult(
        policy,
        seed,
        statistics.windows(),
        new PlayResult.AttemptTotals(
            statistics.connections(),
            statistics.crossZoneFraction(),
            endpoints.values().stream()
                .mapToDouble(VirtualEndpoint::peakWarmUpLoad)
                .max()
                .orElse(0)),
        new PlayResult.RouteTotals(
            statistics.routeChanges(),
            proxies.stream().mapToDouble(VirtualProxy::secondsWithoutRoutes).sum(),
            plans));
  }
}
