package stonespring.testbed.virtual;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import stonespring.daemon.EngineHost;
import stonespring.model.AckId;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;
import stonespring.model.LoadReport;
import stonespring.model.RequestClass;
import stonespring.model.RequestClassId;
import stonespring.model.RetrySafety;
import stonespring.model.ZoneId;
import stonespring.proxy.CommitLog;
import stonespring.proxy.routing.RequestProgress;
import stonespring.proxy.routing.RequestStatistics;
import stonespring.proxy.routing.Router;
import stonespring.proxy.routing.RouterSettings;
import stonespring.proxy.routing.TableSubscriber;
import stonespring.proxyapi.ProxyConnection;
import stonespring.recording.Recording;
import stonespring.state.KeyUpdate;
import stonespring.state.ProxyAcknowledgement;
import stonespring.state.ProxyHello;
import stonespring.state.ProxyReport;

/**
 * A proxy in virtual time: the real routing, what an instance publishes as its keys come, and
 * clients that come again.
 */
final class VirtualProxy implements ProxyConnection {
  private static final long IDLE =
      15 * DeciMillis.SECOND; // 0.1 ms after which an unused connection is closed
  private static final long NEAR = 3; // 0.1 ms one way in a zone
  private static final long FAR = 13; // 0.1 ms one way between zones
  private static final int AGAIN_MOST = 2; // times that a client comes again by itself
  private static final long AGAIN_AFTER = 3_000; // 0.1 ms
  private static final long AGAIN_LEAST =
      500; // 0.1 ms; with less time left a client doesn't come again

  private final VirtualFleet fleet;
  private final Recording.ProxyInfo proxy;
  private final EventQueue agenda;
  private final SplittableRandom random;
  private final Router router;
  private final TableSubscriber follower = new TableSubscriber();
  private final RequestStatistics tally;
  private final Map<String, Long> connected = new HashMap<>();
  private long bareSince = -1;
  private double bare;

  VirtualProxy(
      VirtualFleet fleet,
      Recording.ProxyInfo proxy,
      RouterSettings routing,
      List<EndpointId> standing,
      long seed) {
    this.fleet = fleet;
    this.proxy = proxy;
    this.agenda = fleet.agenda;
    this.random = new SplittableRandom(seed);
    this.router = new Router(routing, random.nextLong());
    this.router.useBootstrapRoutes(standing);
    this.tally = new RequestStatistics(routing.requestClasses().size(), 0);
  }

  String name() {
    return proxy.name();
  }

  /** Seconds in which it had no line. */
  double bare() {
    return bareSince >= 0 ? bare + (double) (agenda.now() - bareSince) / DeciMillis.SECOND : bare;
  }

  @Override
  public void close(String cause) {
    throw new IllegalStateException(proxy.name() + " was cut off: " + cause);
  }

  // ---- Its assigner.

  void join(EngineHost core) {
    core.handleHello(
        proxy.name(),
        new ProxyHello(
            "life",
            1,
            new ZoneId(proxy.zone()),
            proxy.requestsPerSecond(),
            true,
            Optional.of(router.namedEndpoints().stream().map(EndpointId::new).toList())),
        24 * 3600 * DeciMillis.SECOND,
        this,
        agenda.now());
  }

  void told(EngineHost core, KeyUpdate update, String key) {
    String value =
        update.value().length == 0 ? null : new String(update.value(), StandardCharsets.UTF_8);
    TableSubscriber.Step step =
        follower.keyChanged(
            key,
            value,
            value != null && key.equals("commit") ? CommitLog.read(update.value()) : null);
    if (step instanceof TableSubscriber.Step.Resync resync) {
      throw new IllegalStateException(
          proxy.name() + " lost a message where none can be: " + resync.cause());
    }
    if (step instanceof TableSubscriber.Step.Update message) {
      router.apply(message);
      fleet.changed(message.changes().keySet().stream().filter(k -> k.startsWith("line/")).count());
      boolean empty = router.weights(new RequestClassId(0)).isEmpty();
      if (empty != bareSince >= 0) {
        bare += empty ? 0 : (double) (agenda.now() - bareSince) / DeciMillis.SECOND;
        bareSince = empty ? agenda.now() : -1;
      }
      if (message.ackId() >= 0) {
        core.handleAcknowledgement(
            proxy.name(),
            new ProxyAcknowledgement(message.stream(), new AckId(message.ackId()), fleet.away()),
            this,
            agenda.now());
      }
    }
  }

  /** What it met since it last reported. */
  ProxyReport report(long interval) {
    List<ProxyReport.EndpointObservation> met = new ArrayList<>();
    for (RequestStatistics.EndpointObservation m : tally.observations()) {
      long good = m.attempts() - m.failures();
      met.add(
          new ProxyReport.EndpointObservation(
              new EndpointId(m.endpoint()),
              m.attempts(),
              m.failures(),
              good == 0 ? 0 : m.successTime() / good,
              m.load() == null ? LoadReport.NONE : m.load()));
    }
    List<ProxyReport.RequestCount> came = new ArrayList<>();
    for (int k = 0; k < fleet.types(); k++) {
      came.add(
          new ProxyReport.RequestCount(
              new RequestClassId(k),
              tally.requests(new RequestClassId(k)),
              tally.unanswered(new RequestClassId(k))));
    }
    tally.reset(agenda.now());
    return new ProxyReport(interval, met, came);
  }

  // ---- Ops.

  /** A client's op; all its tries count with the first. */
  void ask(int k) {
    new Op(k).come();
  }

  private final class Op {
    private final RequestClassId type;
    private final RequestClass settings;
    private final long askedAt = agenda.now();
    private final long until;
    private int came;
    private int life;
    private int tries;
    private boolean proven;
    private long firstAt;
    private EndpointId open;
    private long openSince;
    private boolean done;

    Op(int k) {
      type = new RequestClassId(k);
      settings = fleet.settings().requestClasses().get(k);
      until = askedAt + fleet.type(k).timeout();
      fleet.asked(askedAt, settings.priorityWeight());
      // Whatever hangs somewhere then: the client has its answer, and the try counts as bad.
      agenda.at(until, () -> over(false, false, false));
    }

    void come() {
      tally.requestReceived(type);
      tries = 0;
      proven = true;
      if (router.admit(type, agenda.now())) {
        send(null);
      } else {
        refused(true);
      }
    }

    private void refused(boolean byLevel) {
      if (!byLevel) {
        tally.requestUnanswered(type);
      }
      boolean may = settings.retrySafety() == RetrySafety.IDEMPOTENT || proven;
      if (may && came < AGAIN_MOST && until - agenda.now() > AGAIN_AFTER + AGAIN_LEAST) {
        came++;
        int mine = ++life;
        agenda.in(
            AGAIN_AFTER,
            () -> {
              if (mine == life) {
                come();
              }
            });
      } else {
        over(false, byLevel, true);
      }
    }

    private void send(EndpointId not) {
      EndpointId task = router.pick(type, not, agenda.now()).orElse(null);
      if (task == null) {
        refused(false);
        return;
      }
      int mine = ++life;
      tries++;
      long began = agenda.now();
      firstAt = proven ? began : firstAt;
      VirtualTask to = fleet.task(task.name());
      boolean crosses = to != null && to.zone() != proxy.zone();
      boolean connects = connected.getOrDefault(task.name(), Long.MIN_VALUE / 2) < began - IDLE;
      connected.put(task.name(), began);
      fleet.tried(crosses, connects);
      long way = crosses ? FAR : NEAR;
      open = task;
      openSince = began;
      if (to == null || !to.up()) {
        connected.remove(task.name()); // its process is gone: the connection is refused at once
        agenda.in(2 * way, () -> ended(mine, task, began, false, false, null));
        return;
      }
      agenda.in(
          connects ? 3 * way : way,
          () ->
              to.take(
                  fleet.type(type.index()).serviceTime(),
                  until,
                  connects,
                  (good, ran, load) ->
                      agenda.in(way, () -> ended(mine, task, began, good, ran, load))));
    }

    private void ended(
        int mine, EndpointId task, long began, boolean good, boolean ran, LoadReport load) {
      if (mine != life) {
        return; // nobody waits for it any more
      }
      long now = agenda.now();
      open = null;
      router.attemptEnded(task, good, now);
      tally.attemptEnded(task, good, now - began, load);
      if (good) {
        over(true, false, true);
        return;
      }
      proven &= !ran;
      if (router.mayRetry(type, new RequestProgress(tries, proven, firstAt, until), now)) {
        send(task);
      } else {
        refused(false);
      }
    }

    private void over(boolean good, boolean rejected, boolean answered) {
      if (done) {
        return;
      }
      done = true;
      life++;
      long now = agenda.now();
      if (open != null) {
        router.attemptEnded(open, false, now);
        tally.attemptEnded(open, false, now - openSince, null);
        tally.requestUnanswered(type);
      }
      boolean inTime = good && now - askedAt <= settings.latencyObjective();
      fleet.over(askedAt, inTime ? settings.priorityWeight() : 0, rejected, !answered);
    }
  }
}
