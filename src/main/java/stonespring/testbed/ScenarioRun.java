package stonespring.testbed;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.chp.ChpClient;
import stonespring.chp.ChpMessage;
import stonespring.model.EndpointId;
import stonespring.model.RequestClass;
import stonespring.model.RetrySafety;
import stonespring.model.Settings;
import stonespring.proxy.Proxy;
import stonespring.proxy.ProxySettings;
import stonespring.proxy.routing.RouterSettings;
import stonespring.recording.Recording;
import stonespring.zmtp.ZmtpLimits;

/**
 * Plays a scenario on loopback: real instances in processes of their own, stand-ins here, faults by
 * the script.
 */
public final class ScenarioRun {
  /** A scenario could not be played. */
  public static final class Failed extends Exception {
    private static final long serialVersionUID = 1;

    Failed(String message) {
      super(message);
    }
  }

  private interface Act {
    void run() throws Exception;
  }

  private record Due(double at, long count, Act act) {}

  /** A proxy with all that is its own. */
  private static final class Seat {
    private String name;
    private int zone;
    private double requests;
    private Proxy proxy;
    private int port;
    private ClientStandIn client;
    private final List<FaultyLink> links = new ArrayList<>();
    private final List<ProxySettings.Ports> ports = new ArrayList<>();
  }

  private static final Logger LOG = LoggerFactory.getLogger(ScenarioRun.class);
  private static final int THREADS = 6; // event loops for all stand-ins
  private static final long SILENCE_MILLIS =
      3_000; // ms; three of an instance's signs of life missed
  private static final int PRESENCE_SECONDS = 3; // s; as above, the other way

  private final Scenario day;
  private final Path script;
  private final SplittableRandom random;
  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
  private final Evidence evidence = new Evidence(true);
  private final RegistryStandIn registry;
  private final List<EndpointStandIn> endpoints = new ArrayList<>();
  private final List<Seat> seats = new ArrayList<>();
  private final List<InstanceProcess> assigners = new ArrayList<>();
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparing(Due::count));
  private final AtomicInteger openOps = new AtomicInteger();
  private final Path folder;
  private long count;
  private double began;
  private boolean over;

  public ScenarioRun(Scenario day, Path script, long seed, Path folder) {
    this.day = day;
    this.script = script;
    this.folder = folder;
    this.random = new SplittableRandom(seed);
    this.registry = new RegistryStandIn(loops, evidence, day.listDelayMillis());
  }

  /** Plays the scenario to its end and judges it. */
  public InvariantChecker.Verdict run() throws Failed, InterruptedException {
    try {
      setUp();
      for (Scenario.Fault t : day.faults()) {
        at(t.atMillis(), () -> strike(t));
      }
      play(day.seconds() * 1000);
      seats.forEach(seat -> seat.client.stop());
      double most =
          day.assigner().opTimeouts().stream().mapToLong(t -> t).max().orElse(0) / 10.0 + 1000;
      for (double until = evidence.now() + most; openOps.get() > 0 && evidence.now() < until; ) {
        Thread.sleep(5);
      }
      if (openOps.get() > 0) {
        throw new Failed(openOps.get() + " ops had no final answer after their op timeout");
      }
      over = true;
      return observer().judge(began + day.seconds() * 1000);
    } catch (InterruptedException | Failed e) {
      throw e;
    } catch (Exception e) {
      LOG.error("the day broke off", e);
      throw new Failed("the day broke off: " + e);
    } finally {
      over = true;
      tearDown();
    }
  }

  /** The scenario as it was played, to be played again; after {@link #run}. */
  public Recording recording(String name) {
    return new ScenarioRecorder(day, evidence, began)
        .recording(
            name,
            seats.stream().map(s -> new Recording.Proxy(s.name, s.zone, s.requests)).toList());
  }

  private InvariantChecker observer() {
    Settings s = day.assigner().settings();
    Map<String, InvariantChecker.RequestClassPolicy> requestClasses = new LinkedHashMap<>();
    for (int k = 0; k < s.requestClasses().size(); k++) {
      RequestClass type = s.requestClasses().get(k);
      requestClasses.put(
          day.assigner().opTypeNames().get(k),
          new InvariantChecker.RequestClassPolicy(
              type.latencyObjective() / 10.0,
              type.priorityWeight(),
              type.retrySafety() == RetrySafety.IDEMPOTENT));
    }
    return new InvariantChecker(
        new InvariantChecker.Limits(
            s.routing().maxTimeWithoutEndpoint() / 10.0,
            day.graceMillis(),
            s.slowStart().window() / 10.0,
            s.channel().maxMessagesPerProxy(),
            s.channel().messageWindow() / 10.0),
        requestClasses,
        evidence);
  }

  private EventLoop loop() {
    return (EventLoop) loops.next();
  }

  private void setUp() throws Exception {
    registry.start(FreePorts.take(1));
    for (int z = 0; z < zones(); z++) {
      for (int i = 0; i < day.endpointsPerZone(); i++) {
        EndpointStandIn endpoint = endpoint(z);
        endpoint.start(false);
        registry.set(endpoint, false);
      }
    }
    // Discovery is late: an instance that starts now would be told of nothing.
    Thread.sleep(day.listDelayMillis() + 50);
    for (int i = 0; i < day.assigner().settings().fleet().instances(); i++) {
      InstanceProcess assigner =
          new InstanceProcess(
              script,
              FreePorts.take(3),
              registry.port(),
              folder.resolve("saved-" + i + ".json"),
              folder.resolve("assigner-" + i + ".log"));
      assigners.add(assigner);
      assigner.start();
      watch(assigner);
    }
    List<ClientStandIn.RequestMix> types = asked();
    double all = 0;
    for (int i = 0; i < day.proxiesPerZone() * zones(); i++) {
      Seat seat = new Seat();
      seat.name = "p" + (i + 1);
      seat.zone = i % zones();
      // Most proxies carry little, some far more.
      seat.requests = Math.pow(1 - random.nextDouble(), -0.6);
      all += seat.requests;
      seat.port = FreePorts.take(1);
      seats.add(seat);
    }
    for (Seat seat : seats) {
      seat.requests *= day.requestsPerSecond() / all;
      for (InstanceProcess assigner : assigners) {
        FaultyLink link = new FaultyLink(loop(), new WireTap(seat.name, evidence));
        seat.links.add(link);
        seat.ports.add(
            new ProxySettings.Ports(
                "127.0.0.1",
                link.listen(assigner.port()),
                link.listen(assigner.port() + 1),
                link.listen(assigner.port() + 2)));
      }
      startProxy(seat);
      seat.client =
          new ClientStandIn(
              loop(),
              evidence,
              types,
              seat.name,
              seat.port,
              seat.requests,
              random.nextLong(),
              openOps);
    }
    began = evidence.now();
    seats.forEach(seat -> seat.client.start());
  }

  private int zones() {
    return day.assigner().zones().size();
  }

  private List<ClientStandIn.RequestMix> asked() {
    List<ClientStandIn.RequestMix> asked = new ArrayList<>();
    for (int k = 0; k < day.assigner().opTypeNames().size(); k++) {
      String name = day.assigner().opTypeNames().get(k);
      asked.add(
          new ClientStandIn.RequestMix(
              name,
              day.shares().get(name),
              day.assigner().settings().requestClasses().get(k).retrySafety()
                  == RetrySafety.IDEMPOTENT,
              day.assigner().opTimeouts().get(k) / 10.0));
    }
    return asked;
  }

  private EndpointStandIn endpoint(int zone) throws IOException {
    Settings s = day.assigner().settings();
    Map<String, Double> windows = new HashMap<>();
    for (int k = 0; k < s.requestClasses().size(); k++) {
      String name = day.assigner().opTypeNames().get(k);
      if (s.requestClasses().get(k).retrySafety() == RetrySafety.IDEMPOTENCY_KEYED) {
        windows.put(name, day.deduplicationWindowMillis());
      }
    }
    EndpointStandIn.Specification specification =
        new EndpointStandIn.Specification(
            day.cores(),
            day.queue(),
            day.connections(),
            day.handshakeMillis(),
            day.serviceTimeMillis(),
            0,
            windows,
            s.slowStart().initialFraction(),
            s.slowStart().window() / 10.0,
            s.slowStart().overloadMultiple(),
            day.overloadWindowMillis());
    EndpointStandIn endpoint =
        new EndpointStandIn(
            "t" + (endpoints.size() + 1),
            day.assigner().zones().get(zone),
            specification,
            loops,
            evidence,
            random.nextLong());
    endpoint.listenAt(FreePorts.take(1));
    endpoints.add(endpoint);
    return endpoint;
  }

  private void startProxy(Seat seat) throws IOException, InterruptedException {
    Settings s = day.assigner().settings();
    RouterSettings router =
        StandIns.routing(day.assigner(), type -> (long) (day.deduplicationWindowMillis() * 10));
    List<Long> timeouts = StandIns.opTimeouts(day.assigner());
    ProxySettings settings =
        new ProxySettings(
            seat.name,
            day.assigner().zones().get(seat.zone),
            random.nextLong(),
            router,
            timeouts,
            standing(seat.zone, s.routing().bootstrapRouteCount()),
            seat.ports,
            seat.requests,
            50,
            s.reportInterval() / 10,
            SILENCE_MILLIS,
            300,
            1500,
            PRESENCE_SECONDS);
    seat.proxy = new Proxy(settings, loop()).start(loops, seat.port);
  }

  /** Endpoints that run and are listed, drawn in the proxy's zone where three are there. */
  private List<EndpointId> standing(int zone, int most) {
    List<EndpointStandIn> up =
        new ArrayList<>(endpoints.stream().filter(EndpointStandIn::isUp).toList());
    List<EndpointStandIn> near =
        new ArrayList<>(
            up.stream().filter(t -> t.zone().equals(day.assigner().zones().get(zone))).toList());
    List<EndpointStandIn> from = near.size() >= 3 ? near : up;
    List<EndpointId> drawn = new ArrayList<>();
    while (drawn.size() < most && !from.isEmpty()) {
      drawn.add(new EndpointId(from.remove(random.nextInt(from.size())).id()));
    }
    return drawn;
  }

  /** Follows an instance's own status, through every loss. */
  private void watch(InstanceProcess assigner) {
    EventLoop loop = loop();
    ChpClient client =
        new ChpClient(
            loop,
            "/assigner/",
            10_000,
            new ChpClient.Listener() {
              @Override
              public void snapshot(List<ChpMessage.KvSync> keys, long sequence) {
                keys.forEach(key -> WireTap.status(evidence, key.value()));
              }

              @Override
              public void update(ChpMessage.KvPub update) {
                WireTap.status(evidence, update.value());
              }

              @Override
              public void ended(String cause) {
                if (!over) {
                  loop.schedule(() -> watch(assigner), 200, TimeUnit.MILLISECONDS);
                }
              }
            });
    client.dial("127.0.0.1", assigner.port(), false, ZmtpLimits.USUAL);
  }

  private void at(double millis, Act act) {
    due.add(new Due(millis, count++, act));
  }

  private double now() {
    return evidence.now() - began;
  }

  private void play(double millis) throws Exception {
    while (now() < millis) {
      Due next = due.peek();
      if (next != null && next.at <= now()) {
        due.poll().act.run();
      } else {
        double until = Math.min(millis, next == null ? millis : next.at);
        Thread.sleep((long) Math.max(1, until - now()));
      }
    }
  }

  private <T> List<T> some(List<T> of, double part) {
    List<T> rest = new ArrayList<>(of);
    List<T> some = new ArrayList<>();
    for (long n = Math.max(1, Math.round(part * of.size())); n > 0 && !rest.isEmpty(); n--) {
      some.add(rest.remove(random.nextInt(rest.size())));
    }
    return some;
  }

  private List<EndpointStandIn> up(int zone) {
    return endpoints.stream()
        .filter(EndpointStandIn::isUp)
        .filter(t -> zone < 0 || t.zone().equals(day.assigner().zones().get(zone)))
        .toList();
  }

  private List<Seat> seats(int zone) {
    return seats.stream().filter(seat -> zone < 0 || seat.zone == zone).toList();
  }

  private void strike(Scenario.Fault t) throws Exception {
    LOG.info("trouble at {} s: {}", Math.round(now() / 100) / 10.0, t);
    double end = now() + t.forMillis();
    List<EndpointStandIn> struck = some(up(t.zone()), t.part());
    List<Seat> proxies = some(seats(t.zone()), t.part());
    switch (t.kind()) {
      case "crash" -> struck.forEach(endpoint -> down(endpoint, end));
      case "silent" ->
          during(
              t,
              () -> struck.forEach(endpoint -> endpoint.silent(true)),
              () -> {
                for (EndpointStandIn endpoint : struck) {
                  if (endpoint.isUp()) {
                    down(endpoint, now());
                  }
                }
              });
      case "fast_errors" ->
          during(
              t,
              () -> struck.forEach(endpoint -> endpoint.errors(t.size())),
              () -> struck.forEach(endpoint -> endpoint.errors(0)));
      case "lost_answers" ->
          during(
              t,
              () -> struck.forEach(endpoint -> endpoint.loseAnswers(t.size())),
              () -> struck.forEach(endpoint -> endpoint.loseAnswers(0)));
      case "pauses" ->
          each(
              t,
              () ->
                  struck.forEach(
                      endpoint -> endpoint.pause(t.size() * (0.5 + random.nextDouble()))));
      case "flapping" ->
          each(t, () -> struck.forEach(endpoint -> endpoint.errors(random.nextBoolean() ? 1 : 0)));
      case "late_reports" ->
          during(
              t,
              () -> links(proxies, link -> link.delay((long) t.size(), 0)),
              () -> links(proxies, link -> link.delay(0, 0)));
      case "slow_channel" ->
          during(
              t,
              () -> links(proxies, link -> link.slow(t.size())),
              () -> links(proxies, link -> link.slow(Double.MAX_VALUE)));
      case "byte_by_byte" ->
          during(
              t,
              () -> links(proxies, link -> link.byteByByte(true)),
              () -> links(proxies, link -> link.byteByByte(false)));
      case "reconnect" -> links(proxies, link -> link.cut(false));
      case "half_close" -> links(proxies, link -> link.halfClose(1));
      case "cut_in_snapshot" ->
          links(
              proxies,
              link -> {
                link.cutAfter(0, (long) t.size());
                link.cut(false);
              });
      case "zone_loss" -> up(t.zone()).forEach(endpoint -> down(endpoint, end));
      case "zone_cut" -> during(t, () -> cut(t.zone(), true), () -> cut(t.zone(), false));
      case "deploy" -> deploy(t, struck);
      case "taken_in_waves" ->
          each(
              t,
              () ->
                  some(up(t.zone()), t.part())
                      .forEach(
                          endpoint -> {
                            registry.set(endpoint, true);
                            at(now() + t.size(), () -> down(endpoint, now() + t.eachMillis()));
                          }));
      case "shrink" ->
          struck.forEach(
              endpoint -> {
                registry.set(endpoint, true);
                at(
                    end,
                    () -> {
                      registry.remove(endpoint);
                      endpoint.crash();
                    });
              });
      case "growth" ->
          each(
              t,
              () -> {
                for (int i = 0; i < t.size(); i++) {
                  EndpointStandIn endpoint = endpoint(random.nextInt(zones()));
                  endpoint.start(true);
                  registry.set(endpoint, false);
                }
              });
      case "surge" ->
          during(
              t,
              () -> seats.forEach(s -> s.client.rate(s.requests * t.size())),
              () -> seats.forEach(s -> s.client.rate(s.requests)));
      case "impatience" ->
          during(
              t,
              () -> seats.forEach(s -> s.client.patience(t.size())),
              () -> seats.forEach(s -> s.client.patience(1)));
      case "proxy_crash" -> {
        for (Seat seat : proxies) {
          seat.proxy.stop();
          at(end, () -> startProxy(seat));
        }
      }
      case "proxy_stall" ->
          each(
              t,
              () ->
                  proxies.forEach(
                      seat -> {
                        Proxy halted = seat.proxy;
                        halted.standStill(true);
                        at(now() + t.size(), () -> halted.standStill(false));
                      }));
      case "assigner_stall" ->
          each(
              t,
              () -> {
                links(seats, link -> link.freeze(true));
                at(now() + t.size(), () -> links(seats, link -> link.freeze(false)));
              });
      case "assigner_crash" -> {
        List<InstanceProcess> killed = some(assigners, t.part());
        for (InstanceProcess assigner : killed) {
          assigner.kill();
          at(end, assigner::start);
        }
      }
      case "false_reports" ->
          during(
              t,
              () -> struck.forEach(endpoint -> endpoint.falseReports(t.size())),
              () -> struck.forEach(endpoint -> endpoint.falseReports(1)));
      case "slow_handshakes" ->
          during(
              t,
              () -> struck.forEach(endpoint -> endpoint.slowHandshakes(t.size())),
              () -> struck.forEach(endpoint -> endpoint.slowHandshakes(1)));
      case "op_type_fails" ->
          during(
              t,
              () -> {
                int k = Math.min(day.assigner().opTypeNames().size() - 1, (int) t.size());
                struck.forEach(
                    endpoint -> endpoint.failRequestClass(day.assigner().opTypeNames().get(k)));
              },
              () -> struck.forEach(endpoint -> endpoint.failRequestClass("")));
      case "wrong_list" ->
          during(
              t,
              () -> struck.forEach(endpoint -> registry.hide(endpoint.name(), true)),
              () -> struck.forEach(endpoint -> registry.hide(endpoint.name(), false)));
      case "registry_dead" -> during(t, () -> registry.dead(true), () -> registry.dead(false));
      default -> throw new IllegalStateException(t.kind());
    }
  }

  private interface OnLink {
    void act(FaultyLink link);
  }

  private static void links(List<Seat> seats, OnLink act) {
    seats.forEach(seat -> seat.links.forEach(act::act));
  }

  private void during(Scenario.Fault t, Act first, Act last) throws Exception {
    first.run();
    at(now() + t.forMillis(), last);
  }

  private void each(Scenario.Fault t, Act act) {
    for (double when = now(); when < now() + t.forMillis(); when += t.eachMillis()) {
      at(when, act);
    }
  }

  /** An endpoint dies now and comes back warming up. */
  private void down(EndpointStandIn endpoint, double backAt) {
    endpoint.crash();
    registry.remove(endpoint);
    at(
        backAt,
        () -> {
          if (!endpoint.isUp()
              && evidence.of(Evidence.Overloaded.class).stream()
                  .noneMatch(f -> f.endpoint().equals(endpoint.id()))) {
            endpoint.start(true);
            registry.set(endpoint, false);
          }
        });
  }

  private void deploy(Scenario.Fault t, List<EndpointStandIn> struck) {
    int batch = (int) Math.max(1, Math.round(t.size() * endpoints.size()));
    int batches = (struck.size() + batch - 1) / batch;
    for (int i = 0; i < struck.size(); i++) {
      EndpointStandIn endpoint = struck.get(i);
      double when = now() + t.forMillis() * (i / batch) / Math.max(1, batches);
      at(when, () -> registry.set(endpoint, true));
      at(when + t.eachMillis() + day.listDelayMillis(), () -> down(endpoint, now() + 500));
    }
  }

  private void cut(int zone, boolean on) {
    String name = day.assigner().zones().get(Math.max(0, zone));
    Set<String> others = new LinkedHashSet<>(day.assigner().zones());
    others.remove(name);
    for (EndpointStandIn endpoint : endpoints) {
      endpoint.setUnreachableZones(
          !on ? Set.of() : endpoint.zone().equals(name) ? others : Set.of(name));
    }
    // Assigner i stands in zone i: links between the zone and the others pass nothing.
    for (Seat seat : seats) {
      for (int i = 0; i < seat.links.size(); i++) {
        boolean inZone = day.assigner().zones().get(seat.zone).equals(name);
        boolean assignerIn = day.assigner().zones().get(i % zones()).equals(name);
        if (inZone != assignerIn) {
          seat.links.get(i).freeze(on);
        }
      }
    }
  }

  private void tearDown() throws InterruptedException {
    for (Seat seat : seats) {
      if (seat.client != null) {
        seat.client.stop();
      }
      if (seat.proxy != null) {
        seat.proxy.stop();
      }
      seat.links.forEach(FaultyLink::close);
    }
    for (InstanceProcess assigner : assigners) {
      if (assigner.alive() && !assigner.stop()) {
        assigner.kill();
      }
    }
    endpoints.forEach(EndpointStandIn::crash);
    registry.stop();
    loops.shutdownGracefully(0, 2, TimeUnit.SECONDS);
  }

  /** The report that a person reads. */
  public static String report(InvariantChecker.Verdict v) {
    StringBuilder out = new StringBuilder();
    out.append(
        String.format(
            "service %.3f (whole), %.3f (worst 10 s), %.3f (worst op type, %s); simulated tasks%n",
            v.service(), v.worstWindow(), v.worstClass(), v.worstClassName()));
    new TreeMap<>(v.counts())
        .forEach((what, number) -> out.append(String.format("  %-55s %d%n", what, number)));
    if (v.violations().isEmpty()) {
      out.append(String.format("all five rules kept%n"));
    } else {
      v.violations().forEach(line -> out.append(String.format("BROKEN %s%n", line)));
    }
    return out.toString();
  }

  /** A folder for a scenario's files. */
  public static Path folder() throws IOException {
    return Files.createTempDirectory("stonespring-day");
  }
}
