package stonespring.testbed;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import stonespring.chp.ChpClient;
import stonespring.chp.ChpMessage;
import stonespring.config.InstanceSettings;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.EndpointId;
import stonespring.model.RetrySafety;
import stonespring.proxy.Proxy;
import stonespring.proxy.ProxySettings;
import stonespring.proxy.routing.RouterSettings;
import stonespring.zmtp.ZmtpLimits;

/**
 * Measures what a fleet of idle proxies costs an instance that runs in a separate process: the time
 * until all proxies have a route table, memory, and the duration of decision batches. An object
 * serves for one measurement.
 */
public final class FleetMeasurement {
  private static final int EVENT_LOOP_THREADS = 4;

  /** Wait after the instance's start, for its first decision batches and JIT compilation. */
  private static final int INSTANCE_WARM_UP_MILLIS = 3000;

  private static final int ROUTE_TABLE_TIMEOUT_SECONDS = 300;
  private static final String LOOPBACK = "127.0.0.1";

  private final InstanceSettings settings;
  private final Path instanceLog;
  private final InstanceProcess instance;
  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
  private final AtomicReference<String> latestStatus = new AtomicReference<>("");
  private final List<Proxy> proxies = new ArrayList<>();

  private FleetMeasurement(Path script, Path folder) throws Exception {
    settings = InstanceSettings.read(script);
    instanceLog = folder.resolve("assigner.log");
    Files.deleteIfExists(instanceLog);
    instance =
        new InstanceProcess(
            script, FreePorts.take(3), 0, folder.resolve("saved.json"), instanceLog);
  }

  /**
   * Runs the measurement and returns its report.
   *
   * @param script the settings script of the instance
   * @param connectSpreadMillis the time over which the proxies' connects are spread evenly
   * @param holdSeconds how long the fleet stays connected after every proxy has a route table
   * @param folder receives the instance's log and cached endpoint list
   */
  public static String run(
      Path script, int proxyCount, long connectSpreadMillis, long holdSeconds, Path folder)
      throws Exception {
    FleetMeasurement measurement = new FleetMeasurement(script, folder);
    measurement.instance.start();
    measurement.subscribeToStatus();
    try {
      return measurement.measure(proxyCount, connectSpreadMillis, holdSeconds);
    } finally {
      if (measurement.instance.alive()) {
        measurement.instance.kill();
      }
      measurement.loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private String measure(int proxyCount, long connectSpreadMillis, long holdSeconds)
      throws Exception {
    Thread.sleep(INSTANCE_WARM_UP_MILLIS);
    long bytesBefore = instance.residentBytes();
    long startNanos = System.nanoTime();
    startProxies(proxyCount, connectSpreadMillis, startNanos);
    double startedSeconds = secondsSince(startNanos);
    while (proxies.stream().anyMatch(proxy -> proxy.appliedUpdates() == 0)) {
      if (secondsSince(startNanos) > ROUTE_TABLE_TIMEOUT_SECONDS) {
        return "not all proxies have a route table after 300 s; last status of the instance: "
            + latestStatus.get();
      }
      Thread.sleep(5);
    }
    double allTablesSeconds = secondsSince(startNanos);
    Thread.sleep(TimeUnit.SECONDS.toMillis(holdSeconds));
    long bytesAfter = instance.residentBytes();
    String finalStatus = latestStatus.get();
    for (Proxy proxy : proxies) {
      proxy.stop();
    }
    instance.stop();
    return String.format(
        "%d proxies dialled within %.2f s, all held a table after %.2f s%nstatus after %d s more: %s%n"
            + "resident memory %.1f MB before, %.1f MB after: %.1f KB a proxy%n%s%n",
        proxyCount,
        startedSeconds,
        allTablesSeconds,
        holdSeconds,
        finalStatus,
        bytesBefore / 1e6,
        bytesAfter / 1e6,
        (bytesAfter - bytesBefore) / 1e3 / proxyCount,
        stopStatistics());
  }

  private static double secondsSince(long startNanos) {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  private void startProxies(int proxyCount, long connectSpreadMillis, long startNanos)
      throws Exception {
    for (int i = 0; i < proxyCount; i++) {
      proxies.add(new Proxy(proxySettings(i), (EventLoop) loops.next()).start(loops, 0));
      long dueNanos =
          startNanos + TimeUnit.MILLISECONDS.toNanos(connectSpreadMillis * i / proxyCount);
      while (System.nanoTime() < dueNanos) {
        Thread.sleep(1);
      }
    }
  }

  /** Returns the statistics that the instance logged when it stopped; empty if it logged none. */
  private String stopStatistics() throws IOException {
    return Files.readAllLines(instanceLog).stream()
        .filter(line -> line.contains(" stopped: "))
        .findFirst()
        .orElse("")
        .replaceAll("^.*stopped: ", "moments: ");
  }

  private ProxySettings proxySettings(int index) {
    List<RouterSettings.ClassSettings> classes =
        settings.requestClasses().names().stream()
            .map(name -> new RouterSettings.ClassSettings(name, RetrySafety.IDEMPOTENT, 0))
            .toList();
    RouterSettings router =
        new RouterSettings(
            classes, 0, 0, 0, 500, RouterSettings.Picking.TWO_CHOICES, AdmissionLimitKind.FRACTION);
    int port = instance.port();
    return new ProxySettings(
        "p" + index,
        settings.zones().get(index % settings.zones().size()),
        index,
        router,
        StandIns.requestTimeoutsMillis(settings),
        List.of(new EndpointId("m1@127.0.0.1:9101")),
        2,
        new ProxySettings.InstanceLink(
            List.of(new ProxySettings.Ports(LOOPBACK, port, port + 1, port + 2)),
            0,
            settings.settings().reportInterval() / 10,
            10_000,
            200,
            400,
            9));
  }

  private void subscribeToStatus() {
    ChpClient.Listener listener =
        new ChpClient.Listener() {
          @Override
          public void snapshotReceived(List<ChpMessage.KvSync> keys, long sequence) {
            keys.forEach(key -> latestStatus.set(new String(key.value(), StandardCharsets.UTF_8)));
          }

          @Override
          public void updateReceived(ChpMessage.KvPub update) {
            latestStatus.set(new String(update.value(), StandardCharsets.UTF_8));
          }

          @Override
          public void sessionEnded(String cause) {
            // The connection ends when the measurement stops the instance.
          }
        };
    new ChpClient((EventLoop) loops.next(), "/assigner/", 60_000, listener)
        .connect(LOOPBACK, instance.port(), false, ZmtpLimits.DEFAULT);
  }
}
