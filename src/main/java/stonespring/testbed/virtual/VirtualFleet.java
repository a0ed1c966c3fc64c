package stonespring.testbed.virtual;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import stonespring.daemon.EngineHost;
import stonespring.daemon.HostEnvironment;
import stonespring.daemon.HostLimits;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.Settings;
import stonespring.model.ZoneId;
import stonespring.proxy.routing.RouterSettings;
import stonespring.recording.LoadSample;
import stonespring.recording.Recording;
import stonespring.solver.WeightAdvisor;
import stonespring.state.KeyUpdate;
import stonespring.state.ProxyReport;
import stonespring.testbed.StandIns;

/**
 * A recorded load in virtual time: one real instance, from what it is told to the keys it
 * publishes, proxies with the real routing, simulated tasks. The same recording, policy and seed
 * give the same day.
 */
public final class VirtualFleet {
  private static final long AWAY = 200; // 0.1 ms from an instance to a proxy and back
  private static final long REPORT_AWAY = 3_000; // 0.1 ms that sums are late on an ordinary day
  private static final long DEDUPLICATED_FOR = 20_000; // 0.1 ms that tasks drop a repeat

  final EventQueue agenda = new EventQueue();
  private final Recording recording;
  private final Policy policy;
  private final long seed;
  private final Map<String, VirtualTask> tasks = new HashMap<>();
  private final Map<String, VirtualProxy> byName = new LinkedHashMap<>();
  private final List<VirtualProxy> proxies = new ArrayList<>();
  private final SplittableRandom random;
  private final double[][] windows;
  private EngineHost core;
  private WeightAdvisor advisor;
  private LoadSample.ReportsDelayed late = new LoadSample.ReportsDelayed(0, 0);
  private long wake = Long.MAX_VALUE;
  private long tries;
  private long crossed;
  private long connections;
  private long lines;
  private long plans;

  public VirtualFleet(Recording recording, Policy policy, long seed) {
    this.recording = recording;
    this.policy = policy;
    this.seed = seed;
    this.random = new SplittableRandom(seed);
    this.windows = new double[(int) (recording.head().duration() / Played.WINDOW) + 1][5];
    start();
  }

  private void start() {
    List<LoadSample> first = recording.samples().stream().takeWhile(m -> m.at() == 0).toList();
    List<LoadSample> rest = recording.samples().subList(first.size(), recording.samples().size());
    first.stream().filter(m -> !(m instanceof LoadSample.EndpointListed)).forEach(this::happen);
    List<EndpointRecord> listed =
        first.stream()
            .filter(LoadSample.EndpointListed.class::isInstance)
            .map(m -> listing((LoadSample.EndpointListed) m))
            .toList();
    Policy.Made made = policy.make(settings(), random.nextLong(), 0);
    advisor = made.advisor();
    List<String> names =
        recording.head().requestClasses().stream().map(Recording.RequestClassInfo::name).toList();
    core =
        new EngineHost(
            settings(),
            names,
            HostLimits.DEFAULT,
            "e",
            1,
            made.module(),
            new HostEnvironment() {
              @Override
              public void publish(List<KeyUpdate> updates) {
                for (KeyUpdate update : updates) {
                  String[] key = update.key().split("/", 4);
                  if (key[1].equals("proxy") && byName.containsKey(key[2])) {
                    agenda.in(AWAY / 2, () -> byName.get(key[2]).told(core, update, key[3]));
                  }
                }
                agenda.in(AWAY / 2, VirtualFleet.this::pump);
              }

              @Override
              public void watchEndpoints(boolean enabled) {
                // The list is told as it was recorded, whoever follows.
              }

              @Override
              public void fetchEndpoints() {
                // As above.
              }
            },
            0);
    core.handleEndpointListUpdate(
        new Event.EndpointListUpdate(Event.ListUpdateKind.SNAPSHOT, listed), 0);
    RouterSettings routing = StandIns.routing(settings(), names, type -> DEDUPLICATED_FOR);
    for (Recording.ProxyInfo p : recording.head().proxies()) {
      List<EndpointId> near =
          new ArrayList<>(
              listed.stream()
                  .filter(l -> l.zone().index() == p.zone())
                  .map(l -> new EndpointId(l.endpoint().name()))
                  .toList());
      List<EndpointId> standing = new ArrayList<>();
      while (standing.size() < settings().routing().bootstrapRouteCount() && !near.isEmpty()) {
        standing.add(near.remove(random.nextInt(near.size())));
      }
      VirtualProxy proxy = new VirtualProxy(this, p, routing, standing, random.nextLong());
      proxies.add(proxy);
      byName.put(p.name(), proxy);
    }
    for (VirtualProxy proxy : proxies) {
      agenda.at(
          random.nextLong(5_000),
          () -> {
            proxy.join(core);
            pump();
            agenda.in(settings().reportInterval(), () -> report(proxy));
          });
    }
    rest.forEach(m -> agenda.at(m.at(), () -> happen(m)));
    pump();
  }

  private static EndpointRecord listing(LoadSample.EndpointListed m) {
    return new EndpointRecord(
        new EndpointId(m.endpoint()), new ZoneId(m.zone()), m.weight(), m.state(), m.startedAt());
  }

  private void happen(LoadSample moment) {
    if (moment instanceof LoadSample.Arrivals m) {
      for (int k = 0; k < m.requests().length; k++) {
        int type = k;
        for (int i = 0; i < m.requests()[k]; i++) {
          // Counted over the span before: spread over the one after, so that time never goes back.
          agenda.in(
              random.nextLong(recording.head().sampleInterval()),
              () -> proxies.get(m.proxy()).ask(type));
        }
      }
    } else if (moment instanceof LoadSample.EndpointListed m) {
      core.handleEndpointListUpdate(
          new Event.EndpointListUpdate(Event.ListUpdateKind.DELTA, List.of(listing(m))),
          agenda.now());
      pump();
    } else if (moment instanceof LoadSample.ProcessChanged m) {
      tasks
          .computeIfAbsent(
              m.endpoint(), t -> new VirtualTask(agenda, settings(), random.nextLong()))
          .ran(m);
    } else if (moment instanceof LoadSample.CapacityClaimed m && tasks.containsKey(m.endpoint())) {
      tasks.get(m.endpoint()).claims(m.multiple());
    } else if (moment instanceof LoadSample.ReportsDelayed m) {
      late = m;
    }
  }

  private void report(VirtualProxy proxy) {
    ProxyReport report = proxy.report(settings().reportInterval());
    agenda.in(
        REPORT_AWAY + late.delay(),
        () -> {
          core.handleReport(proxy.name(), report, proxy);
          pump();
        });
    agenda.in(settings().reportInterval(), () -> report(proxy));
  }

  /** Lets the instance do what is due, and comes back when something is due next. */
  private void pump() {
    Object before = advisor == null ? null : advisor.plan();
    long next = core.runDue(agenda.now());
    plans += advisor != null && advisor.plan() != null && advisor.plan() != before ? 1 : 0;
    if (next < wake || wake <= agenda.now()) {
      wake = Math.max(next, agenda.now() + 1);
      long mine = wake;
      agenda.at(
          mine,
          () -> {
            if (mine == wake) {
              pump();
            }
          });
    }
  }

  // ---- What proxies ask and tell.

  Settings settings() {
    return recording.head().settings();
  }

  int types() {
    return recording.head().requestClasses().size();
  }

  Recording.RequestClassInfo type(int k) {
    return recording.head().requestClasses().get(k);
  }

  VirtualTask task(String name) {
    return tasks.get(name);
  }

  long away() {
    return AWAY;
  }

  void changed(long count) {
    lines += count;
  }

  void tried(boolean crosses, boolean connects) {
    tries++;
    crossed += crosses ? 1 : 0;
    connections += connects ? 1 : 0;
  }

  private double[] window(long askedAt) {
    return windows[(int) Math.min(windows.length - 1, askedAt / Played.WINDOW)];
  }

  void asked(long at, double benefit) {
    window(at)[0] += benefit;
    window(at)[2]++;
  }

  void over(long askedAt, double inTime, boolean rejected, boolean gaveUp) {
    double[] window = window(askedAt);
    window[1] += inTime;
    window[3] += rejected ? 1 : 0;
    window[4] += gaveUp ? 1 : 0;
  }

  // ---- Playing.

  /** Plays on until then, tenths of a millisecond, and no further than the day is long. */
  public void playTo(long until) {
    agenda.runTo(Math.min(until, recording.head().duration()));
  }

  /** What the solver last advised; null without one, or before it advised anything. */
  public WeightAdvisor advisor() {
    return advisor;
  }

  /** Plays to the end, waits for the last op's answer, and tells what became of all. */
  public Played play() {
    playTo(recording.head().duration());
    agenda.runTo(
        recording.head().duration()
            + recording.head().requestClasses().stream()
                .mapToLong(Recording.RequestClassInfo::timeout)
                .max()
                .orElse(0));
    List<Played.Window> spans = new ArrayList<>();
    for (double[] w : windows) {
      if (w[2] > 0) {
        spans.add(new Played.Window(w[0], w[1], (long) w[2], (long) w[3], (long) w[4]));
      }
    }
    return new Played(
        policy,
        seed,
        spans,
        connections,
        lines,
        tries == 0 ? 0 : (double) crossed / tries,
        tasks.values().stream().mapToDouble(VirtualTask::worst).max().orElse(0),
        proxies.stream().mapToDouble(VirtualProxy::bare).sum(),
        plans);
  }
}
