package stonespring.proxy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.chp.ChpClient;
import stonespring.chp.ChpMessage;
import stonespring.model.LoadReport;
import stonespring.model.RequestClassId;
import stonespring.proxy.routing.RequestStatistics;
import stonespring.proxy.routing.Router;
import stonespring.proxy.routing.TableSubscriber;
import stonespring.zmtp.ZmtpLimits;

/**
 * A proxy's stream to its assigner: it dials, takes the snapshot, says that it is here, follows,
 * answers marks and reports. When the stream ends it keeps all tables and dials again after a drawn
 * wait, the next assigner if there are several. All of it lives on the proxy's event loop.
 */
final class AssignerLink {
  private static final Logger LOG = LoggerFactory.getLogger(AssignerLink.class);
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long RENEWALS = 3; // renewals of presence within its time; two may be late
  private static final int HOLDS_MOST =
      4096; // tasks named in a presence; more are not said, and all are told then

  private final ProxySettings set;
  private final EventLoop loop;
  private final Router router;
  private final RequestStatistics tally;
  private final String life;
  private final String subtree;
  private final SplittableRandom waits;
  private final long startNanos = System.nanoTime();
  private TableSubscriber follower = new TableSubscriber();
  private ChpClient client;
  private long stream;
  private int assigner;
  private boolean joined;
  private boolean stopped;
  private volatile long applied;

  AssignerLink(ProxySettings set, EventLoop loop, Router router, RequestStatistics tally) {
    this.set = set;
    this.loop = loop;
    this.router = router;
    this.tally = tally;
    this.subtree = "/proxy/" + set.name() + "/";
    this.waits = new SplittableRandom(set.seed());
    this.life = Long.toUnsignedString(waits.nextLong() ^ System.nanoTime(), 36);
  }

  long now() {
    return (System.nanoTime() - startNanos) / 100_000;
  }

  /** Messages applied so far. */
  long applied() {
    return applied;
  }

  void start() {
    dial();
    long renew = TimeUnit.SECONDS.toMillis(set.presenceSeconds()) / RENEWALS;
    loop.scheduleAtFixedRate(this::sayHere, renew, renew, TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        this::report, set.reportMillis(), set.reportMillis(), TimeUnit.MILLISECONDS);
  }

  void stop() {
    stopped = true;
    if (client != null) {
      client.close();
    }
  }

  /** Stands still, or goes on: nothing is read from the assigner meanwhile. */
  void reading(boolean on) {
    if (client != null) {
      client.setReading(on);
    }
  }

  private void dial() {
    if (stopped || set.assigners().isEmpty()) {
      return;
    }
    ProxySettings.Ports to = set.assigners().get(assigner++ % set.assigners().size());
    stream++;
    ChpClient[] mine = new ChpClient[1];
    mine[0] =
        new ChpClient(
            loop,
            subtree,
            set.silenceMillis(),
            new ChpClient.Listener() {
              @Override
              public void snapshot(List<ChpMessage.KvSync> keys, long sequence) {
                Map<String, String> all = new LinkedHashMap<>();
                TableSubscriber.Commit commit = null;
                for (ChpMessage.KvSync key : keys) {
                  String name = key.key().substring(subtree.length());
                  all.put(name, text(key.value()));
                  commit = name.equals("commit") ? CommitLog.read(key.value()) : commit;
                }
                act(follower.snapshot(all, commit));
              }

              @Override
              public void update(ChpMessage.KvPub update) {
                String name = update.key().substring(subtree.length());
                boolean commits = name.equals("commit") && update.value().length > 0;
                act(
                    follower.keyChanged(
                        name,
                        update.value().length == 0 ? null : text(update.value()),
                        commits ? CommitLog.read(update.value()) : null));
              }

              @Override
              public void ready() {
                joined = true;
                sayHere();
              }

              @Override
              public void ended(String cause) {
                if (client == mine[0]) {
                  lost(cause);
                }
              }
            });
    client = mine[0];
    client.connect(to.host(), to.snapshots(), to.updates(), to.collector(), ZmtpLimits.DEFAULT);
  }

  private void lost(String cause) {
    joined = false;
    client = null;
    if (stopped) {
      return;
    }
    LOG.info("proxy {}: stream {} ended, tables are kept: {}", set.name(), stream, cause);
    int wait = set.redialLeast() + waits.nextInt(Math.max(1, set.redialMost() - set.redialLeast()));
    loop.schedule(this::dial, wait, TimeUnit.MILLISECONDS);
  }

  private static String text(byte[] value) {
    return new String(value, StandardCharsets.UTF_8);
  }

  private void act(TableSubscriber.Step step) {
    if (step instanceof TableSubscriber.Step.Resync resync) {
      LOG.warn("proxy {}: snapshot asked anew: {}", set.name(), resync.cause());
      client.resync();
    } else if (step instanceof TableSubscriber.Step.Update message) {
      long came = now();
      // A proxy halts for each line that it takes in; a message is applied whole after that.
      loop.schedule(
          () -> apply(message, came),
          (long) set.lineMicros() * message.changes().size(),
          TimeUnit.MICROSECONDS);
    }
  }

  private void apply(TableSubscriber.Step.Update message, long came) {
    try {
      router.apply(message);
    } catch (IllegalArgumentException e) {
      LOG.warn("proxy {}: a message is not applied: {}", set.name(), e.getMessage());
      return;
    }
    applied++;
    if (message.ackId() >= 0 && client != null) {
      ObjectNode answer = JSON.createObjectNode();
      answer
          .put("origin", message.stream())
          .put("mark", message.ackId())
          .put("took", (now() - came) / 1e4);
      set("/up/" + set.name() + "/answer", Map.of(), answer);
    }
  }

  private boolean set(String key, Map<String, String> properties, ObjectNode value) {
    try {
      return client.set(
          new ChpMessage.KvSet(key, ChpMessage.NONE, properties, JSON.writeValueAsBytes(value)));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private void sayHere() {
    if (!joined || client == null) {
      return;
    }
    ObjectNode hello = JSON.createObjectNode();
    hello
        .put("life", life)
        .put("stream", stream)
        .put("zone", set.zone())
        .put("ops", set.usualOps());
    hello.put("fresh", router.isWithoutTables());
    var held = router.namedEndpoints();
    if (held.size() <= HOLDS_MOST) {
      ArrayNode holds = hello.putArray("holds");
      held.forEach(holds::add);
    }
    set("/presence/" + set.name(), Map.of("ttl", String.valueOf(set.presenceSeconds())), hello);
  }

  private void report() {
    if (!joined || client == null) {
      return; // what was met meanwhile is told with the next report
    }
    ObjectNode report = JSON.createObjectNode();
    report.put("span", tally.interval(now()) / 1e4);
    ArrayNode tasks = report.putArray("tasks");
    for (RequestStatistics.EndpointObservation met : tally.observations()) {
      ArrayNode row = tasks.addArray();
      long good = met.attempts() - met.failures();
      row.add(met.endpoint())
          .add(met.attempts())
          .add(met.failures())
          .add(good == 0 ? 0 : met.successTime() / 1e4 / good);
      load(row, met.load());
    }
    ArrayNode ops = report.putArray("ops");
    for (int k = 0; k < set.router().requestClasses().size(); k++) {
      RequestClassId type = new RequestClassId(k);
      ops.addArray()
          .add(set.router().requestClasses().get(k).name())
          .add(tally.requests(type))
          .add(tally.unanswered(type));
    }
    if (set("/up/" + set.name() + "/report", Map.of(), report)) {
      tally.reset(now());
    }
  }

  private static void load(ArrayNode row, LoadReport load) {
    if (load == null) {
      return;
    }
    ObjectNode node = row.addObject();
    double[] figures = {
      load.utilization(),
      load.queueLength(),
      load.inFlight(),
      load.serviceTimeMillis(),
      load.requestsPerSecond()
    };
    String[] names = {"busy", "waiting", "in_hand", "work_ms", "ops_per_s"};
    for (int i = 0; i < names.length; i++) {
      if (!Double.isNaN(figures[i])) {
        node.put(names[i], figures[i]);
      }
    }
  }
}
