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
 * A proxy's connection to an instance: it connects, receives the snapshot, opens a session, applies
 * and acknowledges updates, and sends load reports. When the connection ends, the proxy keeps its
 * tables and reconnects after a random delay, to the next configured instance if there are several.
 * Confined to the proxy's event loop, except {@link #appliedUpdates}, which any thread may call.
 */
final class InstanceConnection {
  private static final Logger LOG = LoggerFactory.getLogger(InstanceConnection.class);

  /**
   * Session renewals sent per time-to-live: two renewals in a row may be late without the session
   * expiring.
   */
  private static final long RENEWALS_PER_SESSION_TTL = 3;

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
  private int nextInstanceIndex;
  private boolean channelReady;
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

  /** Time since the proxy was created, in deci-milliseconds. */
  long now() {
    return (System.nanoTime() - startNanos) / NANOS_PER_DECI_MILLI;
  }

  /** Number of updates applied so far. Safe to call from any thread. */
  long appliedUpdates() {
    return appliedUpdates;
  }

  void start() {
    connect();
    long renewIntervalMillis =
        TimeUnit.SECONDS.toMillis(link.sessionTtlSeconds()) / RENEWALS_PER_SESSION_TTL;
    loop.scheduleAtFixedRate(
        this::sendHello, renewIntervalMillis, renewIntervalMillis, TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        this::sendReport,
        link.reportIntervalMillis(),
        link.reportIntervalMillis(),
        TimeUnit.MILLISECONDS);
  }

  void stop() {
    stopped = true;
    if (client != null) {
      client.close();
    }
  }

  /** Resumes or pauses reading from the instance. */
  void setReading(boolean reading) {
    if (client != null) {
      client.setReading(reading);
    }
  }

  private void connect() {
    if (stopped || link.instances().isEmpty()) {
      return;
    }
    ProxySettings.Ports ports = link.instances().get(nextInstanceIndex++ % link.instances().size());
    connectionCount++;
    Listener listener = new Listener();
    listener.owner = new ChpClient(loop, subtree, link.silenceTimeoutMillis(), listener);
    client = listener.owner;
    client.connect(
        ports.host(), ports.snapshots(), ports.updates(), ports.collector(), ZmtpLimits.DEFAULT);
  }

  /** Observes one connection. The end of a connection that a newer one has replaced is ignored. */
  private final class Listener implements ChpClient.Listener {
    private ChpClient owner;

    @Override
    public void snapshotReceived(List<ChpMessage.KvSync> keys, long sequence) {
      Map<String, String> valuesByKey = new LinkedHashMap<>();
      TableSubscriber.Commit commit = null;
      for (ChpMessage.KvSync key : keys) {
        String relativeKey = relativeKey(key.key());
        valuesByKey.put(relativeKey, decodeUtf8(key.value()));
        if (relativeKey.equals(TableSubscriber.COMMIT_KEY)) {
          commit = CommitReader.read(key.value());
        }
      }
      handleResult(subscriber.handleSnapshot(valuesByKey, commit));
    }

    @Override
    public void updateReceived(ChpMessage.KvPub update) {
      String relativeKey = relativeKey(update.key());
      byte[] value = update.value();
      boolean isDeleted = value.length == 0;
      boolean isCommit = relativeKey.equals(TableSubscriber.COMMIT_KEY) && !isDeleted;
      handleResult(
          subscriber.handleKeyChange(
              relativeKey,
              isDeleted ? null : decodeUtf8(value),
              isCommit ? CommitReader.read(value) : null));
    }

    @Override
    public void sessionReady() {
      channelReady = true;
      sendHello();
    }

    @Override
    public void sessionEnded(String cause) {
      if (client == owner) {
        handleConnectionLoss(cause);
      }
    }
  }

  private String relativeKey(String key) {
    return key.substring(subtree.length());
  }

  private static String decodeUtf8(byte[] value) {
    return new String(value, StandardCharsets.UTF_8);
  }

  private void handleConnectionLoss(String cause) {
    channelReady = false;
    client = null;
    if (stopped) {
      return;
    }
    LOG.info(
        "proxy {}: connection {} to the instance ended, keeping the tables and reconnecting: {}",
        settings.name(),
        connectionCount,
        cause);
    int reconnectRangeMillis = Math.max(1, link.maxReconnectMillis() - link.minReconnectMillis());
    int waitMillis = link.minReconnectMillis() + random.nextInt(reconnectRangeMillis);
    loop.schedule(this::connect, waitMillis, TimeUnit.MILLISECONDS);
  }

  private void handleResult(TableSubscriber.Result result) {
    if (result instanceof TableSubscriber.Result.Resync resync) {
      LOG.warn(
          "proxy {}: received updates are incomplete or invalid, requesting the snapshot: {}",
          settings.name(),
          resync.cause());
      client.resync();
    } else if (result instanceof TableSubscriber.Result.Update update) {
      long arrivedAtDeciMillis = now();
      // The delay simulates the time that a proxy needs to apply each change; the update is then
      // applied as a whole.
      long applyDelayMicros = (long) link.applyDelayMicrosPerChange() * update.changes().size();
      loop.schedule(
          () -> apply(update, arrivedAtDeciMillis), applyDelayMicros, TimeUnit.MICROSECONDS);
    }
  }

  private void apply(TableSubscriber.Result.Update update, long arrivedAtDeciMillis) {
    try {
      router.apply(update);
    } catch (IllegalArgumentException e) {
      LOG.warn(
          "proxy {}: update rejected, routing is unchanged: {}", settings.name(), e.getMessage());
      return;
    }
    appliedUpdates++;
    if (update.ackId() >= 0 && client != null) {
      client.set(messages.acknowledgement(update, now() - arrivedAtDeciMillis));
    }
  }

  /** Opens the session or renews it. */
  private void sendHello() {
    if (channelReady && client != null) {
      client.set(
          messages.hello(
              new InstanceMessages.Hello(
                  processId, connectionCount, router.isWithoutTables(), router.namedEndpoints())));
    }
  }

  /**
   * Sends a load report. While there is no connection, the statistics accumulate and are sent with
   * the first report after reconnecting.
   */
  private void sendReport() {
    if (channelReady && client != null && client.set(messages.report(statistics, now()))) {
      statistics.reset(now());
    }
  }
}
