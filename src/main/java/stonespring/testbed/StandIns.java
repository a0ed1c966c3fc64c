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

/** Stand-ins run by themselves, for trying things out by hand. */
public final class StandIns {
  private static final long MIN_EJECTION =
      26_000; // 0.1 ms; as deployments' proxies keep away from a failing endpoint
  private static final long MAX_EJECTION = 64_000; // 0.1 ms; as above
  private static final long MIN_TIME_FOR_RETRY = 500; // 0.1 ms; less is no time for a further try

  private StandIns() {}

  /**
   * How a proxy of these settings routes; {@code window}: how long endpoints drop a repeat, tenths
   * of a millisecond.
   */
  public static RouterSettings routing(InstanceSettings of, ToLongFunction<RequestClass> window) {
    return routing(of.settings(), of.opTypeNames(), window);
  }

  /** The same for settings and the names of their request classes. */
  public static RouterSettings routing(
      Settings s, List<String> names, ToLongFunction<RequestClass> window) {
    List<RouterSettings.ClassSettings> types = new ArrayList<>();
    for (int k = 0; k < s.requestClasses().size(); k++) {
      RequestClass type = s.requestClasses().get(k);
      types.add(
          new RouterSettings.ClassSettings(
              names.get(k), type.retrySafety(), window.applyAsLong(type)));
    }
    return new RouterSettings(
        types,
        s.routing().ejectAfterConsecutiveFailures(),
        MIN_EJECTION,
        MAX_EJECTION,
        MIN_TIME_FOR_RETRY,
        RouterSettings.Picking.TWO_CHOICES,
        s.admissionLimitKind());
  }

  /** The settings' request timeouts as proxies take them, milliseconds. */
  public static List<Long> opTimeouts(InstanceSettings of) {
    return of.opTimeouts().stream().map(t -> t / 10).toList();
  }

  /** An endpoint at a port; its id as lists name it. */
  public static String endpoint(
      String name, String zone, int port, int cores, double serviceTimeMillis, boolean cold)
      throws IOException, InterruptedException {
    EndpointStandIn.Specification specification =
        new EndpointStandIn.Specification(
            cores, 200, 1000, 1, Map.of(), serviceTimeMillis, Map.of(), 0.2, 10_000, 4, 2_000);
    EndpointStandIn endpoint =
        new EndpointStandIn(name, zone, specification, loops(), new Evidence(false), 1);
    endpoint.listenAt(port);
    endpoint.start(cold);
    return endpoint.id();
  }

  /** A registry whose list comes from a file; its address. */
  public static String registry(Path file, List<String> zones, int port)
      throws IOException, InterruptedException {
    MultiThreadIoEventLoopGroup loops = loops();
    RegistryStandIn registry = new RegistryStandIn(loops, new Evidence(false), 0);
    registry.start(port);
    EndpointListCodec entries = new EndpointListCodec(zones, 0);
    new FileEndpointSource(file, entries, (EventLoop) loops.next())
        .start(told -> {}, list -> registry.whole(list, zones));
    return "127.0.0.1:" + registry.port();
  }

  private static MultiThreadIoEventLoopGroup loops() {
    return new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  }
}
