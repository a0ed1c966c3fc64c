package stonespring.testbed;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import stonespring.config.InstanceSettings;
import stonespring.discovery.EndpointListCodec;
import stonespring.discovery.FileEndpointSource;
import stonespring.model.RequestClass;
import stonespring.model.Settings;
import stonespring.proxy.routing.RouterSettings;

/** Stand-ins run by themselves, for trials by hand, and settings of proxies in the test bed. */
public final class StandIns {
  // In units of 0.1 ms.
  private static final long MIN_EJECTION = 26_000;
  private static final long MAX_EJECTION = 64_000;
  private static final long MIN_TIME_FOR_RETRY = 500;

  private static final int QUEUE_LIMIT = 200;
  private static final int CONNECTION_LIMIT = 1000;
  private static final double HANDSHAKE_MILLIS = 1;
  private static final EndpointStandIn.SlowStart SLOW_START =
      new EndpointStandIn.SlowStart(0.2, 10_000, 4, 2_000);

  private StandIns() {}

  /**
   * How proxies route by an instance's settings.
   *
   * @param deduplicationWindow how long endpoints remember a request of a class, in 0.1 ms
   */
  public static RouterSettings routing(
      InstanceSettings settings, ToLongFunction<RequestClass> deduplicationWindow) {
    return routing(settings.settings(), settings.requestClasses().names(), deduplicationWindow);
  }

  /** The same for settings and the names of their request classes. */
  public static RouterSettings routing(
      Settings settings,
      List<String> requestClassNames,
      ToLongFunction<RequestClass> deduplicationWindow) {
    List<RouterSettings.ClassSettings> classes = new ArrayList<>();
    for (int k = 0; k < settings.requestClasses().size(); k++) {
      RequestClass requestClass = settings.requestClasses().get(k);
      classes.add(
          new RouterSettings.ClassSettings(
              requestClassNames.get(k),
              requestClass.retrySafety(),
              deduplicationWindow.applyAsLong(requestClass)));
    }
    return new RouterSettings(
        classes,
        settings.routing().ejectAfterConsecutiveFailures(),
        MIN_EJECTION,
        MAX_EJECTION,
        MIN_TIME_FOR_RETRY,
        RouterSettings.Picking.TWO_CHOICES,
        settings.admissionLimitKind());
  }

  /** The request timeouts of all classes in milliseconds, in the settings' order. */
  public static List<Long> requestTimeoutsMillis(InstanceSettings settings) {
    return settings.requestClasses().timeoutsDeciMillis().stream()
        .map(timeout -> timeout / 10)
        .toList();
  }

  /** Starts an endpoint at a port and returns its id as endpoint lists have it. */
  public static String endpoint(
      String name, String zone, int port, int cores, double serviceTimeMillis, boolean warmingUp)
      throws IOException, InterruptedException {
    EndpointStandIn.Specification specification =
        new EndpointStandIn.Specification(
            cores,
            QUEUE_LIMIT,
            CONNECTION_LIMIT,
            HANDSHAKE_MILLIS,
            new EndpointStandIn.ServiceTimes(Map.of(), serviceTimeMillis),
            Map.of(),
            SLOW_START);
    EndpointStandIn endpoint =
        new EndpointStandIn(name, zone, specification, loops(), new Evidence(false), 1);
    endpoint.listenAt(port);
    endpoint.start(warmingUp);
    return endpoint.id();
  }

  /** Starts a registry whose list comes from a file, and returns its address. */
  public static String registry(Path file, List<String> zones, int port)
      throws IOException, InterruptedException {
    MultiThreadIoEventLoopGroup loops = loops();
    RegistryStandIn registry = new RegistryStandIn(loops, new Evidence(false), 0);
    registry.start(port);
    EndpointListCodec codec = new EndpointListCodec(zones, 0);
    new FileEndpointSource(file, codec, (EventLoop) loops.next())
        .start(problem -> {}, list -> registry.replaceAll(list, zones));
    return "127.0.0.1:" + registry.port();
  }

  private static MultiThreadIoEventLoopGroup loops() {
    return new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  }
}
