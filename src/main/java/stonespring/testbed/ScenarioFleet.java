package stonespring.testbed;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import stonespring.model.EndpointId;
import stonespring.model.RetrySafety;
import stonespring.model.Settings;
import stonespring.proxy.ProxySettings;

/**
 * The participants of a scenario: instances in separate processes, and proxies, clients, endpoints
 * and the registry in this process. Only the thread of the {@link ScenarioRun} may use it. Changing
 * the order of its random draws changes the scenario that a seed produces.
 */
final class ScenarioFleet {
  private static final int EVENT_LOOP_THREADS = 6;
  private static final int PORTS_PER_INSTANCE = 3;

  /** With fewer running endpoints in its zone, a proxy draws bootstrap routes from all zones. */
  private static final int MIN_BOOTSTRAP_CANDIDATES_IN_ZONE = 3;

  /**
   * Exponent that turns a uniform draw into a Pareto-distributed proxy size: most proxies have few
   * requests, some have far more.
   */
  private static final double PROXY_SIZE_EXPONENT = -0.6;

  // Settings of the proxies.

  /** Delay before a proxy applies an update, for each route change in it. */
  private static final int ROUTE_APPLY_COST_MICROS = 50;

  /** How long an instance may send nothing: three missed heartbeats. */
  private static final long INSTANCE_SILENCE_TIMEOUT_MILLIS = 3_000;

  private static final int MIN_RECONNECT_DELAY_MILLIS = 300;
  private static final int MAX_RECONNECT_DELAY_MILLIS = 1500;

  /** How long an instance keeps a proxy's session without a renewal: three missed renewals. */
  private static final int PRESENCE_TTL_SECONDS = 3;

  private final Scenario scenario;
  private final Evidence evidence;
  private final SplittableRandom random;
  private final Timeline timeline;
  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
  private final RegistryStandIn registry;
  private final InstanceStatusMonitor statusMonitor;
  private final List<EndpointStandIn> endpoints = new ArrayList<>();
  private final List<ScenarioProxy> proxies = new ArrayList<>();
  private final List<InstanceProcess> instances = new ArrayList<>();
  private final AtomicInteger openRequests = new AtomicInteger();

  ScenarioFleet(Scenario scenario, Evidence evidence, Timeline timeline, SplittableRandom random) {
    this.scenario = scenario;
    this.evidence = evidence;
    this.timeline = timeline;
    this.random = random;
    this.registry = new RegistryStandIn(loops, evidence, scenario.listDelayMillis());
    this.statusMonitor = new InstanceStatusMonitor(loops, evidence);
  }

  /** Starts all participants except the clients. */
  void start(Path script, Path folder) throws IOException, InterruptedException {
    registry.start(FreePorts.take(1));
    for (int zone = 0; zone < zones().size(); zone++) {
      for (int i = 0; i < scenario.fleet().endpointsPerZone(); i++) {
        startEndpoint(zone, false);
      }
    }
    // The registry lists endpoints with a delay; an instance started earlier would find none.
    Thread.sleep(scenario.listDelayMillis() + 50);
    for (int i = 0; i < scenario.instance().settings().fleet().instances(); i++) {
      startInstance(i, script, folder);
    }
    createProxies();
    List<ClientStandIn.RequestMixEntry> requestMix = requestMix();
    for (ScenarioProxy proxy : proxies) {
      for (InstanceProcess instance : instances) {
        proxy.linkTo(instance, new FaultyLink(nextLoop(), new WireTap(proxy.name(), evidence)));
      }
      startProxy(proxy);
      proxy.attachClient(
          new ClientStandIn(
              nextLoop(), evidence, requestMix, proxy, random.nextLong(), openRequests));
    }
  }

  void startClients() {
    proxies.forEach(proxy -> proxy.client().start());
  }

  void stopClients() {
    proxies.forEach(proxy -> proxy.client().stop());
  }

  /** Returns the number of client requests without a final answer. */
  int openRequests() {
    return openRequests.get();
  }

  List<String> zones() {
    return scenario.instance().zones();
  }

  List<String> requestClassNames() {
    return scenario.instance().requestClasses().names();
  }

  long listDelayMillis() {
    return scenario.listDelayMillis();
  }

  SplittableRandom random() {
    return random;
  }

  RegistryStandIn registry() {
    return registry;
  }

  List<InstanceProcess> instances() {
    return instances;
  }

  /** Returns all endpoints ever started, including those that have stopped. */
  List<EndpointStandIn> endpoints() {
    return endpoints;
  }

  int endpointCount() {
    return endpoints.size();
  }

  /** Returns the running endpoints of a zone by its index, or of all zones for -1. */
  List<EndpointStandIn> runningEndpoints(int zone) {
    return endpoints.stream()
        .filter(EndpointStandIn::isUp)
        .filter(endpoint -> zone < 0 || endpoint.zone().equals(zones().get(zone)))
        .toList();
  }

  List<ScenarioProxy> proxies() {
    return proxies;
  }

  /** Returns the proxies of a zone by its index, or of all zones for -1. */
  List<ScenarioProxy> proxies(int zone) {
    return proxies.stream().filter(proxy -> zone < 0 || proxy.zone() == zone).toList();
  }

  /**
   * Draws a fraction of a list without replacement: at least one element, or none from an empty
   * list.
   */
  <T> List<T> sample(List<T> from, double fraction) {
    List<T> rest = new ArrayList<>(from);
    List<T> drawn = new ArrayList<>();
    long count = Math.max(1, Math.round(fraction * from.size()));
    while (drawn.size() < count && !rest.isEmpty()) {
      drawn.add(rest.remove(random.nextInt(rest.size())));
    }
    return drawn;
  }

  /** Starts a new endpoint and adds it to the registry. */
  void startEndpoint(int zone, boolean warmingUp) throws IOException, InterruptedException {
    EndpointStandIn endpoint =
        new EndpointStandIn(
            "t" + (endpoints.size() + 1),
            zones().get(zone),
            endpointSpecification(),
            loops,
            evidence,
            random.nextLong());
    endpoint.setPort(FreePorts.take(1));
    endpoints.add(endpoint);
    endpoint.start(warmingUp);
    registry.register(endpoint, false);
  }

  /**
   * Kills an endpoint and restarts it with warm-up at the given timeline time. An endpoint that has
   * ever crashed from overload stays down.
   */
  void crashAndRestart(EndpointStandIn endpoint, double restartAtMillis) {
    endpoint.crash();
    registry.deregister(endpoint);
    timeline.scheduleAt(
        restartAtMillis,
        () -> {
          if (!endpoint.isUp() && !crashedFromOverload(endpoint)) {
            endpoint.start(true);
            registry.register(endpoint, false);
          }
        });
  }

  private boolean crashedFromOverload(EndpointStandIn endpoint) {
    return evidence.observationsOf(Evidence.Overloaded.class).stream()
        .anyMatch(overloaded -> overloaded.endpoint().equals(endpoint.id()));
  }

  private EndpointStandIn.Specification endpointSpecification() {
    Settings settings = scenario.instance().settings();
    Scenario.EndpointModel model = scenario.endpointModel();
    Map<String, Double> deduplicationWindowsMillis = new HashMap<>();
    for (int k = 0; k < settings.requestClasses().size(); k++) {
      if (settings.requestClasses().get(k).retrySafety() == RetrySafety.IDEMPOTENCY_KEYED) {
        deduplicationWindowsMillis.put(
            requestClassNames().get(k), model.deduplicationWindowMillis());
      }
    }
    return new EndpointStandIn.Specification(
        model.cores(),
        model.queueLimit(),
        model.connectionLimit(),
        model.handshakeMillis(),
        new EndpointStandIn.ServiceTimes(model.serviceTimeMillis(), 0),
        deduplicationWindowsMillis,
        new EndpointStandIn.SlowStart(
            settings.slowStart().initialFraction(),
            settings.slowStart().window() / 10.0,
            settings.slowStart().overloadMultiple(),
            model.overloadWindowMillis()));
  }

  private void startInstance(int index, Path script, Path folder) throws IOException {
    InstanceProcess instance =
        new InstanceProcess(
            script,
            FreePorts.take(PORTS_PER_INSTANCE),
            registry.port(),
            folder.resolve("saved-" + index + ".json"),
            folder.resolve("assigner-" + index + ".log"));
    instances.add(instance);
    instance.start();
    statusMonitor.watch(instance);
  }

  private void createProxies() throws IOException {
    double[] sizes = new double[scenario.fleet().proxiesPerZone() * zones().size()];
    double total = 0;
    for (int i = 0; i < sizes.length; i++) {
      sizes[i] = Math.pow(1 - random.nextDouble(), PROXY_SIZE_EXPONENT);
      total += sizes[i];
    }
    double requestsPerSecondPerSize = scenario.load().requestsPerSecond() / total;
    for (int i = 0; i < sizes.length; i++) {
      proxies.add(
          new ScenarioProxy(
              "p" + (i + 1),
              i % zones().size(),
              FreePorts.take(1),
              sizes[i] * requestsPerSecondPerSize));
    }
  }

  private List<ClientStandIn.RequestMixEntry> requestMix() {
    List<ClientStandIn.RequestMixEntry> mix = new ArrayList<>();
    for (int k = 0; k < requestClassNames().size(); k++) {
      String name = requestClassNames().get(k);
      mix.add(
          new ClientStandIn.RequestMixEntry(
              name,
              scenario.load().shares().get(name),
              scenario.instance().settings().requestClasses().get(k).retrySafety()
                  == RetrySafety.IDEMPOTENT,
              scenario.instance().requestClasses().timeoutsDeciMillis().get(k) / 10.0));
    }
    return mix;
  }

  /** Starts a proxy, or restarts one that was stopped. */
  void startProxy(ScenarioProxy proxy) throws IOException, InterruptedException {
    Settings settings = scenario.instance().settings();
    long deduplicationWindowDeciMillis =
        (long) (scenario.endpointModel().deduplicationWindowMillis() * 10);
    ProxySettings proxySettings =
        new ProxySettings(
            proxy.name(),
            zones().get(proxy.zone()),
            random.nextLong(),
            StandIns.routerSettings(
                scenario.instance(), requestClass -> deduplicationWindowDeciMillis),
            StandIns.requestTimeoutsMillis(scenario.instance()),
            bootstrapEndpoints(proxy.zone(), settings.routing().bootstrapRouteCount()),
            proxy.requestsPerSecond(),
            new ProxySettings.InstanceLink(
                proxy.instancePorts(),
                ROUTE_APPLY_COST_MICROS,
                settings.reportInterval() / 10,
                INSTANCE_SILENCE_TIMEOUT_MILLIS,
                MIN_RECONNECT_DELAY_MILLIS,
                MAX_RECONNECT_DELAY_MILLIS,
                PRESENCE_TTL_SECONDS));
    proxy.start(proxySettings, nextLoop(), loops);
  }

  /** Draws running endpoints of the proxy's zone, or of all zones if the zone has too few. */
  private List<EndpointId> bootstrapEndpoints(int zone, int count) {
    List<EndpointStandIn> inZone = runningEndpoints(zone);
    List<EndpointStandIn> candidates =
        new ArrayList<>(
            inZone.size() >= MIN_BOOTSTRAP_CANDIDATES_IN_ZONE ? inZone : runningEndpoints(-1));
    List<EndpointId> drawn = new ArrayList<>();
    while (drawn.size() < count && !candidates.isEmpty()) {
      drawn.add(new EndpointId(candidates.remove(random.nextInt(candidates.size())).id()));
    }
    return drawn;
  }

  private EventLoop nextLoop() {
    return (EventLoop) loops.next();
  }

  /** Stops all participants that were started, also if {@link #start} has failed. */
  void close() throws InterruptedException {
    statusMonitor.stop();
    for (ScenarioProxy proxy : proxies) {
      proxy.close();
    }
    for (InstanceProcess instance : instances) {
      if (instance.alive() && !instance.stop()) {
        instance.kill();
      }
    }
    endpoints.forEach(EndpointStandIn::crash);
    registry.stop();
    loops.shutdownGracefully(0, 2, TimeUnit.SECONDS);
  }
}
