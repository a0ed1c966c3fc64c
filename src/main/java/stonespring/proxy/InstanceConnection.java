package stonespring.proxy;

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
import stonespring.proxy.routing.RequestStatistics;
import stonespring.proxy.routing.Router;
import stonespring.proxy.routing.TableSubscriber;
import stonespring.zmtp.ZmtpLimits;

/**
 * A proxy's connection to an instance: it connects, takes the snapshot, opens a session, follows
 * updates, acknowledges them and reports. When the connection ends the proxy keeps its tables and
 * connects again after a random wait, to the next instance if there are several. Confined to the
 * proxy's event loop, but for {@link #appliedUpdates}.
 */
final class InstanceConnection {
  private static final Logger LOG = LoggerFactory.getLogger(InstanceConnection.class);

  /** Renewals of the session within its time; two may be late. */
  private static final long RENEWALS_PER_SESSION = 3;

  private static final int RANDOM_ID_RADIX = 36;
  private static final long NANOS_PER_DECI_MILLI = 100_000;

  private final ProxySettings settings;
  private final ProxySettings.InstanceLink link;
  private final EventLoop loop;
  private final Router router;
  private final RequestStatistics statistics;
  private final InstanceMessages messages;
  private final String processId;
  private final String subtree;
  private final SplittableRandom random;
  private final long startNanos = System.nanoTime();
  private final TableSubscriber subscriber = new TableSubscriber();
  private ChpClient client;
  private long connectionCount;
  private int nextInstance;
  private boolean ready;
  private boolean stopped;
  private volatile long appliedUpdates;

  InstanceConnection(
      ProxySettings settings, EventLoop loop, Router router, RequestStatistics statistics) {
    this.settings = settings;
    this.link = settings.instanceLink();
    this.loop = loop;
    this.router = router;
    this.statistics = statistics;
    this.messages = new InstanceMessages(settings);
    this.subtree = "/proxy/" + settings.name() + "/";
    this.random = new SplittableRandom(settings.seed());
    this.processId = Long.toUnsignedString(random.nextLong() ^ System.nanoTime(), RANDOM_ID_RADIX);
  }

  /** Time since the proxy's start, DeciMillis. */
  long now() {
    return (System.nanoTime() - startNanos) / NANOS_PER_DECI_MILLI;
  }

  /** Updates applied so far; from any thread. */
  long appliedUpdates() {
    return appliedUpdates;
  }

  void start() {
    connect();
    long renewMillis = TimeUnit.SECONDS.toMillis(link.sessionSeconds()) / RENEWALS_PER_SESSION;
    loop.scheduleAtFixedRate(this::sendHello, renewMillis, renewMillis, TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        this::sendReport, link.reportMillis(), link.reportMillis(), TimeUnit.MILLISECONDS);
  }

  void stop() {
    stopped = true;
    if (client != null) {
      client.close();
    }
  }

  /** Reads from the instance, or does not for the time being. */
  void setReading(boolean reading) {
    if (client != null) {
      client.setReading(reading);
    }
  }

  private void connect() {
    if (stopped || link.instances().isEmpty()) {
      return;
    }
    ProxySettings.Ports ports = link.instances().get(nextInstance++ % link.instances().size());
    connectionCount++;
    Listener listener = new Listener();
    listener.owner = new ChpClient(loop, subtree, link.silenceMillis(), listener);
    client = listener.owner;
    client.connect(
        ports.host(), ports.snapshots(), ports.updates(), ports.collector(), ZmtpLimits.DEFAULT);
  }

  /** Hears of one connection; what ends after a newer one began changes nothing. */
  private final class Listener implements ChpClient.Listener {
    private ChpClient owner;

    @Override
    public void snapshotReceived(List<ChpMessage.KvSync> keys, long sequence) {
      Map<String, String> values = new LinkedHashMap<>();
      TableSubscriber.Commit commit = null;
      for (ChpMessage.KvSync key : keys) {
        String name = relative(key.key());
        values.put(name, text(key.value()));
        if (name.equals(TableSubscriber.COMMIT_KEY)) {
          commit = CommitReader.read(key.value());
        }
      }
      handle(subscriber.snapshot(values, commit));
    }

    @Override
    public void updateReceived(ChpMessage.KvPub update) {
      String name = relative(update.key());
      byte[] value = update.value();
      boolean isDeleted = value.length == 0;
      boolean isCommit = name.equals(TableSubscriber.COMMIT_KEY) && !isDeleted;
      handle(
          subscriber.keyChanged(
              name, isDeleted ? null : text(value), isCommit ? CommitReader.read(value) : null));
    }

    @Override
    public void sessionReady() {
      ready = true;
      sendHello();
    }

    @Override
    public void sessionEnded(String cause) {
      if (client == owner) {
        connectionLost(cause);
      }
    }
  }

  private String relative(String key) {
    return key.substring(subtree.length());
  }

  private static String text(byte[] value) {
    return new String(value, StandardCharsets.UTF_8);
  }

  private void connectionLost(String cause) {
    ready = false;
    client = null;
    if (stopped) {
      return;
    }
    LOG.info(
        "proxy {}: connection {} ended, tables are kept: {}",
        settings.name(),
        connectionCount,
        cause);
    int range = Math.max(1, link.maxReconnectMillis() - link.minReconnectMillis());
    int waitMillis = link.minReconnectMillis() + random.nextInt(range);
    loop.schedule(this::connect, waitMillis, TimeUnit.MILLISECONDS);
  }

  private void handle(TableSubscriber.Step step) {
    if (step instanceof TableSubscriber.Step.Resync resync) {
      LOG.warn("proxy {}: the snapshot is requested: {}", settings.name(), resync.cause());
      client.resync();
    } else if (step instanceof TableSubscriber.Step.Update update) {
      long arrivedAt = now();
      // The proxy halts for each change that it takes in; an update is applied whole after that.
      long haltMicros = (long) link.changeMicros() * update.changes().size();
      loop.schedule(() -> apply(update, arrivedAt), haltMicros, TimeUnit.MICROSECONDS);
    }
  }

  private void apply(TableSubscriber.Step.Update update, long arrivedAt) {
    try {
      router.apply(update);
    } catch (IllegalArgumentException e) {
      LOG.warn("proxy {}: an update is not applied: {}", settings.name(), e.getMessage());
      return;
    }
    appliedUpdates++;
    if (update.ackId() >= 0 && client != null) {
      client.set(messages.acknowledgement(update, now() - arrivedAt));
    }
  }

  /** Opens the session, or renews it. */
  private void sendHello() {
    if (ready && client != null) {
      client.set(
          messages.hello(
              new InstanceMessages.Hello(
                  processId, connectionCount, router.isWithoutTables(), router.namedEndpoints())));
    }
  }

  /** Reports what was observed; without a connection it is reported with the next. */
  private void sendReport() {
    if (ready && client != null && client.set(messages.report(statistics, now()))) {
      statistics.reset(now());
    }
  }
}
