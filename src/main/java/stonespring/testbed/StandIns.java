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
  private static final long SHUN_LEAST =
      26_000; // 0.1 ms; as deployments' proxies keep away from a failing task
  private static final long SHUN_MOST = 64_000; // 0.1 ms; as above
  private static final long RETRY_LEAST = 500; // 0.1 ms; less is no time for a further try

  private StandIns() {}

  /**
   * How a proxy of these settings routes; {@code window}: how long tasks drop a repeat, tenths of a
   * millisecond.
   */
  public static RouterSettings routing(InstanceSettings of, ToLongFunction<RequestClass> window) {
    return routing(of.settings(), of.requestClasses().names(), window);
  }

  /** The same for settings and the names of their op types. */
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
        SHUN_LEAST,
        SHUN_MOST,
        RETRY_LEAST,
        RouterSettings.Picking.TWO_CHOICES,
        s.admissionLimitKind());
  }

  /** The settings' op timeouts as proxies take them, milliseconds. */
  public static List<Long> opTimeouts(InstanceSettings of) {
    return of.requestClasses().timeouts().stream().map(t -> t / 10).toList();
  }

  /** A task at a port; its id as lists name it. */
  public static String task(
      String name, String zone, int port, int cores, double workMillis, boolean cold)
      throws IOException, InterruptedException {
    TaskStandIn.Make make =
        new TaskStandIn.Make(
            cores, 200, 1000, 1, Map.of(), workMillis, Map.of(), 0.2, 10_000, 4, 2_000);
    TaskStandIn task = new TaskStandIn(name, zone, make, loops(), new Evidence(false), 1);
    task.listenAt(port);
    task.start(cold);
    return task.id();
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
