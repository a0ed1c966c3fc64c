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

/**
 * Starts single stand-ins for manual trials from the command line, and derives the settings of
 * proxies in the test bed from those of instances.
 */
public final class StandIns {
  // The range of ejection times, the same as that of the proxies in deployments.
  private static final long MIN_EJECTION_DECI_MILLIS = 26_000;
  private static final long MAX_EJECTION_DECI_MILLIS = 64_000;

  /** Minimum time that must be left before the deadline for a further attempt. */
  private static final long MIN_TIME_FOR_RETRY_DECI_MILLIS = 500;

  // The properties of endpoints that are started from the command line.
  private static final int QUEUE_LIMIT = 200;
  private static final int CONNECTION_LIMIT = 1000;
  private static final double HANDSHAKE_MILLIS = 1;
  private static final EndpointStandIn.SlowStart SLOW_START =
      new EndpointStandIn.SlowStart(0.2, 10_000, 4, 2_000);

  private StandIns() {}

  /**
   * Returns the routing settings of proxies that follow an instance's settings.
   *
   * @param deduplicationWindow the time for which endpoints recognise a repeated request of a
   *     class, in deci-milliseconds
   */
  public static RouterSettings routerSettings(
      InstanceSettings settings, ToLongFunction<RequestClass> deduplicationWindow) {
    return routerSettings(
        settings.settings(), settings.requestClasses().names(), deduplicationWindow);
  }

  /**
   * Returns the routing settings of proxies that follow an instance's settings.
   *
   * @param requestClassNames the names of the request classes, in the settings' order
   * @param deduplicationWindow the time for which endpoints recognise a repeated request of a
   *     class, in deci-milliseconds
   */
  public static RouterSettings routerSettings(
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
        MIN_EJECTION_DECI_MILLIS,
        MAX_EJECTION_DECI_MILLIS,
        MIN_TIME_FOR_RETRY_DECI_MILLIS,
        RouterSettings.Picking.TWO_CHOICES,
        settings.admissionLimitKind());
  }

  /** Returns the request timeouts of all classes in milliseconds, in the settings' order. */
  public static List<Long> requestTimeoutsMillis(InstanceSettings settings) {
    return settings.requestClasses().timeoutsDeciMillis().stream()
        .map(timeout -> timeout / 10)
        .toList();
  }

  /**
   * Starts an endpoint on loopback and returns its id in endpoint lists.
   *
   * @param port the port to listen at; 0 for any free port
   * @param serviceTimeMillis the mean service time of all requests
   * @param warmingUp whether the endpoint goes through a slow start
   */
  public static String startEndpoint(
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
        new EndpointStandIn(name, zone, specification, newEventLoops(), new Evidence(false), 1);
    endpoint.setPort(port);
    endpoint.start(warmingUp);
    return endpoint.id();
  }

  /**
   * Starts a registry on loopback and returns its address.
   *
   * @param file the endpoint list that the registry serves; changes of the file are followed
   * @param zones the names of the zones, by index
   * @param port the port to listen at; 0 for any free port
   */
  public static String startRegistry(Path file, List<String> zones, int port)
      throws IOException, InterruptedException {
    MultiThreadIoEventLoopGroup loops = newEventLoops();
    RegistryStandIn registry = new RegistryStandIn(loops, new Evidence(false), 0);
    registry.start(port);
    EndpointListCodec codec = new EndpointListCodec(zones, 0);
    new FileEndpointSource(file, codec, (EventLoop) loops.next())
        .start(problem -> {}, list -> registry.replaceAll(list, zones));
    return "127.0.0.1:" + registry.port();
  }

  private static MultiThreadIoEventLoopGroup newEventLoops() {
    return new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  }
}
