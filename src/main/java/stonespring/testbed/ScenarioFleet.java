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
 * All that runs during a scenario: instances in processes of their own, and in this one proxies,
 * clients, endpoints and the registry. Used from the run's thread alone; the order of its random
 * draws is part of what a seed means.
 */
final class ScenarioFleet {
  private static final int EVENT_LOOPS = 6;
  private static final int PORTS_PER_INSTANCE = 3;
  private static final int MIN_ENDPOINTS_IN_ZONE = 3;

  /** Exponent of the drawn proxy sizes: most proxies carry little, some far more. */
  private static final double PROXY_SIZE_EXPONENT = -0.6;

  // Settings of the proxies; times in milliseconds where no other unit is named.
  private static final int ROUTE_APPLY_MICROS = 50;
  private static final long INSTANCE_SILENCE_MILLIS = 3_000;
  private static final int MIN_RECONNECT_MILLIS = 300;
  private static final int MAX_RECONNECT_MILLIS = 1500;
  private static final int PRESENCE_SECONDS = 3;

  private final Scenario scenario;
  private final Evidence evidence;
  private final SplittableRandom random;
  private final Timeline timeline;
  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
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

  /** Starts everything but the clients. */
  void start(Path script, Path folder) throws IOException, InterruptedException {
    registry.start(FreePorts.take(1));
    for (int zone = 0; zone < zones().size(); zone++) {
      for (int i = 0; i < scenario.fleet().endpointsPerZone(); i++) {
        startEndpoint(zone, false);
      }
    }
    // The registry shows endpoints late: an instance that starts at once would find none.
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
      proxy.attach(
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

  /** Requests of clients that have no final answer yet. */
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

  /** All endpoints that were ever started. */
  List<EndpointStandIn> endpoints() {
    return endpoints;
  }

  int endpointCount() {
    return endpoints.size();
  }

  /** The running endpoints of a zone, or of all for -1. */
  List<EndpointStandIn> runningEndpoints(int zone) {
    return endpoints.stream()
        .filter(EndpointStandIn::isUp)
        .filter(endpoint -> zone < 0 || endpoint.zone().equals(zones().get(zone)))
        .toList();
  }

  List<ScenarioProxy> proxies() {
    return proxies;
  }

  /** The proxies of a zone, or of all for -1. */
  List<ScenarioProxy> proxies(int zone) {
    return proxies.stream().filter(proxy -> zone < 0 || proxy.zone() == zone).toList();
  }

  /** Draws a fraction of a list without repetition, at least one element where there is one. */
  <T> List<T> sample(List<T> from, double fraction) {
    List<T> rest = new ArrayList<>(from);
    List<T> drawn = new ArrayList<>();
    long count = Math.max(1, Math.round(fraction * from.size()));
    while (drawn.size() < count && !rest.isEmpty()) {
      drawn.add(rest.remove(random.nextInt(rest.size())));
    }
    return drawn;
  }

  /** Starts a new endpoint and lists it. */
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

  /** Kills an endpoint; it comes back warming up, unless overload killed it before. */
  void crash(EndpointStandIn endpoint, double restartAtMillis) {
    endpoint.crash();
    registry.deregister(endpoint);
    timeline.at(
        restartAtMillis,
        () -> {
          if (!endpoint.isUp() && !crashedFromOverload(endpoint)) {
            endpoint.start(true);
            registry.register(endpoint, false);
          }
        });
  }

  private boolean crashedFromOverload(EndpointStandIn endpoint) {
    return evidence.of(Evidence.Overloaded.class).stream()
        .anyMatch(overloaded -> overloaded.endpoint().equals(endpoint.id()));
  }

  private EndpointStandIn.Specification endpointSpecification() {
    Settings settings = scenario.instance().settings();
    Scenario.EndpointModel model = scenario.endpointModel();
    Map<String, Double> deduplicationWindows = new HashMap<>();
    for (int k = 0; k < settings.requestClasses().size(); k++) {
      if (settings.requestClasses().get(k).retrySafety() == RetrySafety.IDEMPOTENCY_KEYED) {
        deduplicationWindows.put(requestClassNames().get(k), model.deduplicationWindowMillis());
      }
    }
    return new EndpointStandIn.Specification(
        model.cores(),
        model.queueLimit(),
        model.connectionLimit(),
        model.handshakeMillis(),
        new EndpointStandIn.ServiceTimes(model.serviceTimeMillis(), 0),
        deduplicationWindows,
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
    double requestsPerSize = scenario.load().requestsPerSecond() / total;
    for (int i = 0; i < sizes.length; i++) {
      proxies.add(
          new ScenarioProxy(
              "p" + (i + 1), i % zones().size(), FreePorts.take(1), sizes[i] * requestsPerSize));
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

  /** Starts a proxy, also again after it was stopped. */
  void startProxy(ScenarioProxy proxy) throws IOException, InterruptedException {
    Settings settings = scenario.instance().settings();
    long deduplicationWindow = (long) (scenario.endpointModel().deduplicationWindowMillis() * 10);
    ProxySettings proxySettings =
        new ProxySettings(
            proxy.name(),
            zones().get(proxy.zone()),
            random.nextLong(),
            StandIns.routerSettings(scenario.instance(), requestClass -> deduplicationWindow),
            StandIns.requestTimeoutsMillis(scenario.instance()),
            bootstrapEndpoints(proxy.zone(), settings.routing().bootstrapRouteCount()),
            proxy.requestsPerSecond(),
            new ProxySettings.InstanceLink(
                proxy.instances(),
                ROUTE_APPLY_MICROS,
                settings.reportInterval() / 10,
                INSTANCE_SILENCE_MILLIS,
                MIN_RECONNECT_MILLIS,
                MAX_RECONNECT_MILLIS,
                PRESENCE_SECONDS));
    proxy.start(proxySettings, nextLoop(), loops);
  }

  /** Draws from the running endpoints of the proxy's zone, or of all where the zone has few. */
  private List<EndpointId> bootstrapEndpoints(int zone, int count) {
    List<EndpointStandIn> inZone = runningEndpoints(zone);
    List<EndpointStandIn> candidates =
        new ArrayList<>(inZone.size() >= MIN_ENDPOINTS_IN_ZONE ? inZone : runningEndpoints(-1));
    List<EndpointId> drawn = new ArrayList<>();
    while (drawn.size() < count && !candidates.isEmpty()) {
      drawn.add(new EndpointId(candidates.remove(random.nextInt(candidates.size())).id()));
    }
    return drawn;
  }

  private EventLoop nextLoop() {
    return (EventLoop) loops.next();
  }

  /** Ends everything, also after a start that failed half way. */
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
