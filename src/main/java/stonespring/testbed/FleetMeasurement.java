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
 * Measures what a fleet of idle proxies does to an instance in a process of its own: the time until
 * all hold a route table, memory, latency of decisions. One use an object.
 */
public final class FleetMeasurement {
  private static final int EVENT_LOOPS = 4;
  private static final int WARM_UP_MILLIS = 3000;
  private static final int MAX_SECONDS_UNTIL_TABLES = 300;
  private static final String LOOPBACK = "127.0.0.1";

  private final InstanceSettings settings;
  private final Path log;
  private final InstanceProcess instance;
  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
  private final AtomicReference<String> status = new AtomicReference<>("");
  private final List<Proxy> proxies = new ArrayList<>();

  private FleetMeasurement(Path script, Path folder) throws Exception {
    settings = InstanceSettings.read(script);
    log = folder.resolve("assigner.log");
    Files.deleteIfExists(log);
    instance = new InstanceProcess(script, FreePorts.take(3), 0, folder.resolve("saved.json"), log);
  }

  /**
   * Runs the measurement and returns its report.
   *
   * @param spreadMillis the time within which all proxies dial
   * @param seconds how long the fleet stands after all proxies hold a table
   */
  public static String run(
      Path script, int proxyCount, long spreadMillis, long seconds, Path folder) throws Exception {
    FleetMeasurement measurement = new FleetMeasurement(script, folder);
    measurement.instance.start();
    measurement.followStatus();
    try {
      return measurement.measure(proxyCount, spreadMillis, seconds);
    } finally {
      if (measurement.instance.alive()) {
        measurement.instance.kill();
      }
      measurement.loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private String measure(int proxyCount, long spreadMillis, long seconds) throws Exception {
    Thread.sleep(WARM_UP_MILLIS);
    long bytesBefore = instance.residentBytes();
    long startNanos = System.nanoTime();
    dial(proxyCount, spreadMillis, startNanos);
    double dialledSeconds = secondsSince(startNanos);
    while (proxies.stream().anyMatch(proxy -> proxy.appliedUpdates() == 0)) {
      if (secondsSince(startNanos) > MAX_SECONDS_UNTIL_TABLES) {
        return "not all proxies hold a table after 300 s; status " + status.get();
      }
      Thread.sleep(5);
    }
    double tablesSeconds = secondsSince(startNanos);
    Thread.sleep(TimeUnit.SECONDS.toMillis(seconds));
    long bytesAfter = instance.residentBytes();
    String lastStatus = status.get();
    for (Proxy proxy : proxies) {
      proxy.stop();
    }
    instance.stop();
    return String.format(
        "%d proxies dialled within %.2f s, all held a table after %.2f s%nstatus after %d s more: %s%n"
            + "resident memory %.1f MB before, %.1f MB after: %.1f KB a proxy%n%s%n",
        proxyCount,
        dialledSeconds,
        tablesSeconds,
        seconds,
        lastStatus,
        bytesBefore / 1e6,
        bytesAfter / 1e6,
        (bytesAfter - bytesBefore) / 1e3 / proxyCount,
        lastWords());
  }

  private static double secondsSince(long startNanos) {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  private void dial(int proxyCount, long spreadMillis, long startNanos) throws Exception {
    for (int i = 0; i < proxyCount; i++) {
      proxies.add(new Proxy(proxySettings(i), (EventLoop) loops.next()).start(loops, 0));
      long dueNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(spreadMillis * i / proxyCount);
      while (System.nanoTime() < dueNanos) {
        Thread.sleep(1);
      }
    }
  }

  /** The statistics that the instance logs when it stops; empty where there are none. */
  private String lastWords() throws IOException {
    return Files.readAllLines(log).stream()
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

  private void followStatus() {
    ChpClient.Listener listener =
        new ChpClient.Listener() {
          @Override
          public void snapshotReceived(List<ChpMessage.KvSync> keys, long sequence) {
            keys.forEach(key -> status.set(new String(key.value(), StandardCharsets.UTF_8)));
          }

          @Override
          public void updateReceived(ChpMessage.KvPub update) {
            status.set(new String(update.value(), StandardCharsets.UTF_8));
          }

          @Override
          public void sessionEnded(String cause) {
            // The instance is stopped at the end.
          }
        };
    new ChpClient((EventLoop) loops.next(), "/assigner/", 60_000, listener)
        .connect(LOOPBACK, instance.port(), false, ZmtpLimits.DEFAULT);
  }
}
