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
 * Plays a day on loopback: real assigners in processes of their own, stand-ins here, troubles by
 * the script.
 */
public final class ScenarioRun {
  /** A day could not be played. */
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
    private double ops;
    private Proxy proxy;
    private int port;
    private ClientStandIn client;
    private final List<FaultyLink> links = new ArrayList<>();
    private final List<ProxySettings.Ports> ports = new ArrayList<>();
  }

  private static final Logger LOG = LoggerFactory.getLogger(ScenarioRun.class);
  private static final int THREADS = 6; // event loops for all stand-ins
  private static final long SILENCE_MILLIS =
      3_000; // ms; three of an assigner's signs of life missed
  private static final int PRESENCE_SECONDS = 3; // s; as above, the other way

  private final Scenario day;
  private final Path script;
  private final SplittableRandom random;
  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
  private final Evidence evidence = new Evidence(true);
  private final RegistryStandIn registry;
  private final List<TaskStandIn> tasks = new ArrayList<>();
  private final List<Seat> seats = new ArrayList<>();
  private final List<AssignerProcess> assigners = new ArrayList<>();
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
    this.registry = new RegistryStandIn(loops, evidence, day.listLateMillis());
  }

  /** Plays the day to its end and judges it. */
  public InvariantChecker.Verdict run() throws Failed, InterruptedException {
    try {
      setUp();
      for (Scenario.Trouble t : day.troubles()) {
        at(t.atMillis(), () -> strike(t));
      }
      play(day.seconds() * 1000);
      seats.forEach(seat -> seat.client.stop());
      double most =
          day.assigner().requestClasses().timeouts().stream().mapToLong(t -> t).max().orElse(0)
                  / 10.0
              + 1000;
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

  /** The day as it was played, to be played again; after {@link #run}. */
  public Recording recording(String name) {
    return new ScenarioRecorder(day, evidence, began)
        .recording(
            name, seats.stream().map(s -> new Recording.ProxyInfo(s.name, s.zone, s.ops)).toList());
  }

  private InvariantChecker observer() {
    Settings s = day.assigner().settings();
    Map<String, InvariantChecker.Worth> worths = new LinkedHashMap<>();
    for (int k = 0; k < s.requestClasses().size(); k++) {
      RequestClass type = s.requestClasses().get(k);
      worths.put(
          day.assigner().requestClasses().names().get(k),
          new InvariantChecker.Worth(
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
        worths,
        evidence);
  }

  private EventLoop loop() {
    return (EventLoop) loops.next();
  }

  private void setUp() throws Exception {
    registry.start(FreePorts.take(1));
    for (int z = 0; z < zones(); z++) {
      for (int i = 0; i < day.tasksPerZone(); i++) {
        TaskStandIn task = task(z);
        task.start(false);
        registry.set(task, false);
      }
    }
    // Discovery is late: an assigner that starts now would be told of nothing.
    Thread.sleep(day.listLateMillis() + 50);
    for (int i = 0; i < day.assigner().settings().fleet().instances(); i++) {
      AssignerProcess assigner =
          new AssignerProcess(
              script,
              FreePorts.take(3),
              registry.port(),
              folder.resolve("saved-" + i + ".json"),
              folder.resolve("assigner-" + i + ".log"));
      assigners.add(assigner);
      assigner.start();
      watch(assigner);
    }
    List<ClientStandIn.Asked> types = asked();
    double all = 0;
    for (int i = 0; i < day.proxiesPerZone() * zones(); i++) {
      Seat seat = new Seat();
      seat.name = "p" + (i + 1);
      seat.zone = i % zones();
      // Most proxies carry little, some far more.
      seat.ops = Math.pow(1 - random.nextDouble(), -0.6);
      all += seat.ops;
      seat.port = FreePorts.take(1);
      seats.add(seat);
    }
    for (Seat seat : seats) {
      seat.ops *= day.opsPerSecond() / all;
      for (AssignerProcess assigner : assigners) {
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
              loop(), evidence, types, seat.name, seat.port, seat.ops, random.nextLong(), openOps);
    }
    began = evidence.now();
    seats.forEach(seat -> seat.client.start());
  }

  private int zones() {
    return day.assigner().zones().size();
  }

  private List<ClientStandIn.Asked> asked() {
    List<ClientStandIn.Asked> asked = new ArrayList<>();
    for (int k = 0; k < day.assigner().requestClasses().names().size(); k++) {
      String name = day.assigner().requestClasses().names().get(k);
      asked.add(
          new ClientStandIn.Asked(
              name,
              day.shares().get(name),
              day.assigner().settings().requestClasses().get(k).retrySafety()
                  == RetrySafety.IDEMPOTENT,
              day.assigner().requestClasses().timeouts().get(k) / 10.0));
    }
    return asked;
  }

  private TaskStandIn task(int zone) throws IOException {
    Settings s = day.assigner().settings();
    Map<String, Double> windows = new HashMap<>();
    for (int k = 0; k < s.requestClasses().size(); k++) {
      String name = day.assigner().requestClasses().names().get(k);
      if (s.requestClasses().get(k).retrySafety() == RetrySafety.IDEMPOTENCY_KEYED) {
        windows.put(name, day.dedupMillis());
      }
    }
    TaskStandIn.Make make =
        new TaskStandIn.Make(
            day.cores(),
            day.queue(),
            day.connections(),
            day.handshakeMillis(),
            day.workMillis(),
            0,
            windows,
            s.slowStart().initialFraction(),
            s.slowStart().window() / 10.0,
            s.slowStart().overloadMultiple(),
            day.fallMillis());
    TaskStandIn task =
        new TaskStandIn(
            "t" + (tasks.size() + 1),
            day.assigner().zones().get(zone),
            make,
            loops,
            evidence,
            random.nextLong());
    task.listenAt(FreePorts.take(1));
    tasks.add(task);
    return task;
  }

  private void startProxy(Seat seat) throws IOException, InterruptedException {
    Settings s = day.assigner().settings();
    RouterSettings router =
        StandIns.routing(day.assigner(), type -> (long) (day.dedupMillis() * 10));
    List<Long> timeouts = StandIns.opTimeouts(day.assigner());
    ProxySettings settings =
        new ProxySettings(
            seat.name,
            day.assigner().zones().get(seat.zone),
            random.nextLong(),
            router,
            timeouts,
            standing(seat.zone, s.routing().bootstrapRouteCount()),
            seat.ops,
            new ProxySettings.InstanceLink(
                seat.ports,
                50,
                s.reportInterval() / 10,
                SILENCE_MILLIS,
                300,
                1500,
                PRESENCE_SECONDS));
    seat.proxy = new Proxy(settings, loop()).start(loops, seat.port);
  }

  /** Tasks that run and are listed, drawn in the proxy's zone where three are there. */
  private List<EndpointId> standing(int zone, int most) {
    List<TaskStandIn> up = new ArrayList<>(tasks.stream().filter(TaskStandIn::isUp).toList());
    List<TaskStandIn> near =
        new ArrayList<>(
            up.stream().filter(t -> t.zone().equals(day.assigner().zones().get(zone))).toList());
    List<TaskStandIn> from = near.size() >= 3 ? near : up;
    List<EndpointId> drawn = new ArrayList<>();
    while (drawn.size() < most && !from.isEmpty()) {
      drawn.add(new EndpointId(from.remove(random.nextInt(from.size())).id()));
    }
    return drawn;
  }

  /** Follows an assigner's own status, through every loss. */
  private void watch(AssignerProcess assigner) {
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
    client.connect("127.0.0.1", assigner.port(), false, ZmtpLimits.DEFAULT);
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

  private List<TaskStandIn> up(int zone) {
    return tasks.stream()
        .filter(TaskStandIn::isUp)
        .filter(t -> zone < 0 || t.zone().equals(day.assigner().zones().get(zone)))
        .toList();
  }

  private List<Seat> seats(int zone) {
    return seats.stream().filter(seat -> zone < 0 || seat.zone == zone).toList();
  }

  private void strike(Scenario.Trouble t) throws Exception {
    LOG.info("trouble at {} s: {}", Math.round(now() / 100) / 10.0, t);
    double end = now() + t.forMillis();
    List<TaskStandIn> struck = some(up(t.zone()), t.part());
    List<Seat> proxies = some(seats(t.zone()), t.part());
    switch (t.kind()) {
      case "crash" -> struck.forEach(task -> down(task, end));
      case "silent" ->
          during(
              t,
              () -> struck.forEach(task -> task.silent(true)),
              () -> {
                for (TaskStandIn task : struck) {
                  if (task.isUp()) {
                    down(task, now());
                  }
                }
              });
      case "fast_errors" ->
          during(
              t,
              () -> struck.forEach(task -> task.errors(t.size())),
              () -> struck.forEach(task -> task.errors(0)));
      case "lost_answers" ->
          during(
              t,
              () -> struck.forEach(task -> task.losesAnswers(t.size())),
              () -> struck.forEach(task -> task.losesAnswers(0)));
      case "pauses" ->
          each(t, () -> struck.forEach(task -> task.still(t.size() * (0.5 + random.nextDouble()))));
      case "flapping" ->
          each(t, () -> struck.forEach(task -> task.errors(random.nextBoolean() ? 1 : 0)));
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
      case "zone_loss" -> up(t.zone()).forEach(task -> down(task, end));
      case "zone_cut" -> during(t, () -> cut(t.zone(), true), () -> cut(t.zone(), false));
      case "deploy" -> deploy(t, struck);
      case "taken_in_waves" ->
          each(
              t,
              () ->
                  some(up(t.zone()), t.part())
                      .forEach(
                          task -> {
                            registry.set(task, true);
                            at(now() + t.size(), () -> down(task, now() + t.eachMillis()));
                          }));
      case "shrink" ->
          struck.forEach(
              task -> {
                registry.set(task, true);
                at(
                    end,
                    () -> {
                      registry.remove(task);
                      task.crash();
                    });
              });
      case "growth" ->
          each(
              t,
              () -> {
                for (int i = 0; i < t.size(); i++) {
                  TaskStandIn task = task(random.nextInt(zones()));
                  task.start(true);
                  registry.set(task, false);
                }
              });
      case "surge" ->
          during(
              t,
              () -> seats.forEach(s -> s.client.rate(s.ops * t.size())),
              () -> seats.forEach(s -> s.client.rate(s.ops)));
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
                        halted.setStalled(true);
                        at(now() + t.size(), () -> halted.setStalled(false));
                      }));
      case "assigner_stall" ->
          each(
              t,
              () -> {
                links(seats, link -> link.freeze(true));
                at(now() + t.size(), () -> links(seats, link -> link.freeze(false)));
              });
      case "assigner_crash" -> {
        List<AssignerProcess> killed = some(assigners, t.part());
        for (AssignerProcess assigner : killed) {
          assigner.kill();
          at(end, assigner::start);
        }
      }
      case "false_reports" ->
          during(
              t,
              () -> struck.forEach(task -> task.falseReports(t.size())),
              () -> struck.forEach(task -> task.falseReports(1)));
      case "slow_handshakes" ->
          during(
              t,
              () -> struck.forEach(task -> task.slowHandshakes(t.size())),
              () -> struck.forEach(task -> task.slowHandshakes(1)));
      case "op_type_fails" ->
          during(
              t,
              () -> {
                int k =
                    Math.min(day.assigner().requestClasses().names().size() - 1, (int) t.size());
                struck.forEach(
                    task -> task.failType(day.assigner().requestClasses().names().get(k)));
              },
              () -> struck.forEach(task -> task.failType("")));
      case "wrong_list" ->
          during(
              t,
              () -> struck.forEach(task -> registry.hide(task.name(), true)),
              () -> struck.forEach(task -> registry.hide(task.name(), false)));
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

  private void during(Scenario.Trouble t, Act first, Act last) throws Exception {
    first.run();
    at(now() + t.forMillis(), last);
  }

  private void each(Scenario.Trouble t, Act act) {
    for (double when = now(); when < now() + t.forMillis(); when += t.eachMillis()) {
      at(when, act);
    }
  }

  /** A task dies now and comes back cold. */
  private void down(TaskStandIn task, double backAt) {
    task.crash();
    registry.remove(task);
    at(
        backAt,
        () -> {
          if (!task.isUp()
              && evidence.of(Evidence.Fell.class).stream()
                  .noneMatch(f -> f.task().equals(task.id()))) {
            task.start(true);
            registry.set(task, false);
          }
        });
  }

  private void deploy(Scenario.Trouble t, List<TaskStandIn> struck) {
    int batch = (int) Math.max(1, Math.round(t.size() * tasks.size()));
    int batches = (struck.size() + batch - 1) / batch;
    for (int i = 0; i < struck.size(); i++) {
      TaskStandIn task = struck.get(i);
      double when = now() + t.forMillis() * (i / batch) / Math.max(1, batches);
      at(when, () -> registry.set(task, true));
      at(when + t.eachMillis() + day.listLateMillis(), () -> down(task, now() + 500));
    }
  }

  private void cut(int zone, boolean on) {
    String name = day.assigner().zones().get(Math.max(0, zone));
    Set<String> others = new LinkedHashSet<>(day.assigner().zones());
    others.remove(name);
    for (TaskStandIn task : tasks) {
      task.cutFrom(!on ? Set.of() : task.zone().equals(name) ? others : Set.of(name));
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
    for (AssignerProcess assigner : assigners) {
      if (assigner.alive() && !assigner.stop()) {
        assigner.kill();
      }
    }
    tasks.forEach(TaskStandIn::crash);
    registry.stop();
    loops.shutdownGracefully(0, 2, TimeUnit.SECONDS);
  }

  /** The report that a person reads. */
  public static String report(InvariantChecker.Verdict v) {
    StringBuilder out = new StringBuilder();
    out.append(
        String.format(
            "service %.3f (whole), %.3f (worst 10 s), %.3f (worst op type, %s); simulated tasks%n",
            v.service(), v.worstWindow(), v.worstType(), v.worstTypeName()));
    new TreeMap<>(v.counts())
        .forEach((what, number) -> out.append(String.format("  %-55s %d%n", what, number)));
    if (v.broken().isEmpty()) {
      out.append(String.format("all five rules kept%n"));
    } else {
      v.broken().forEach(line -> out.append(String.format("BROKEN %s%n", line)));
    }
    return out.toString();
  }

  /** A folder for a day's files. */
  public static Path folder() throws IOException {
    return Files.createTempDirectory("stonespring-day");
  }
}
