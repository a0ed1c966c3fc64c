package stonespring.cli;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import stonespring.config.InstanceSettings;
import stonespring.model.RequestClass;
import stonespring.proxy.Proxy;
import stonespring.proxy.ProxySettings;
import stonespring.proxy.routing.RouterSettings;
import stonespring.testbed.StandIns;

/** Runs a plain proxy that connects to an instance and applies its route tables. */
@Command(
    name = "proxy",
    mixinStandardHelpOptions = true,
    description =
        "Runs a plain proxy that connects to the instance of a settings script and serves POST /op/TYPE with"
            + " the header x-op.")
final class ProxyCommand implements Callable<Integer> {
  private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";
  private static final String ADDRESS_PATTERN = "[A-Za-z0-9.-]+:[0-9]{1,5}";
  private static final long DECI_MILLIS_PER_MILLI = 10;

  /** Estimate of its own request rate that the proxy sends when it connects. */
  private static final double USUAL_REQUESTS_PER_SECOND = 1;

  /** Simulated time to apply one changed route; 0 disables the simulation of this delay. */
  private static final int ROUTE_CHANGE_DELAY_MICROS = 0;

  private static final long SILENCE_TIMEOUT_MILLIS = 3_000;
  private static final int MIN_RECONNECT_MILLIS = 300;
  private static final int MAX_RECONNECT_MILLIS = 1_500;
  private static final int SESSION_TIMEOUT_SECONDS = 3;

  @Parameters(
      paramLabel = "FILE",
      description = "Settings script of the instance; defines request classes, ejection and ports.")
  private Path file;

  @Option(
      names = "--name",
      required = true,
      description = "Name of the proxy, unique in the fleet.")
  private String name;

  @Option(names = "--zone", required = true, description = "Zone of the proxy.")
  private String zone;

  @Option(
      names = "--port",
      defaultValue = "0",
      description = "Port for requests; 0 selects a free port (default: ${DEFAULT-VALUE}).")
  private int port;

  @Option(
      names = "--assigner",
      split = ",",
      paramLabel = "<assigners>",
      description = "Instances as HOST:PORT, tried in turn (default: the instance of the script).")
  private List<String> instances = new ArrayList<>();

  @Mixin private LoggingOptions logging;

  @Override
  public Integer call() throws Exception {
    logging.apply();
    InstanceSettings instanceSettings = InputFiles.readSettings(file);
    if (!instanceSettings.zones().contains(zone) || !name.matches(NAME_PATTERN)) {
      throw CommandFailedException.usage(
          "proxy: expected --zone to be one of "
              + instanceSettings.zones()
              + " and --name to match "
              + NAME_PATTERN
              + ", found --zone "
              + zone
              + " and --name "
              + name);
    }
    ClassPreloader.preload();
    ProxySettings settings = proxySettings(instanceSettings);
    MultiThreadIoEventLoopGroup eventLoops =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    Proxy proxy = new Proxy(settings, (EventLoop) eventLoops.next()).start(eventLoops, port);
    System.out.println("proxy " + name + " 127.0.0.1:" + proxy.port());
    return ForegroundProcess.runUntilKilled();
  }

  private ProxySettings proxySettings(InstanceSettings instanceSettings)
      throws CommandFailedException {
    RouterSettings routerSettings =
        StandIns.routerSettings(instanceSettings, RequestClass::latencyObjective);
    return new ProxySettings(
        name,
        zone,
        System.nanoTime(),
        routerSettings,
        StandIns.requestTimeoutsMillis(instanceSettings),
        List.of(),
        USUAL_REQUESTS_PER_SECOND,
        new ProxySettings.InstanceLink(
            instancePorts(instanceSettings),
            ROUTE_CHANGE_DELAY_MICROS,
            instanceSettings.settings().reportInterval() / DECI_MILLIS_PER_MILLI,
            SILENCE_TIMEOUT_MILLIS,
            MIN_RECONNECT_MILLIS,
            MAX_RECONNECT_MILLIS,
            SESSION_TIMEOUT_SECONDS));
  }

  private List<ProxySettings.Ports> instancePorts(InstanceSettings instanceSettings)
      throws CommandFailedException {
    if (instances.isEmpty()) {
      return List.of(
          parsePorts(instanceSettings.listen().host() + ":" + instanceSettings.listen().port()));
    }
    List<ProxySettings.Ports> ports = new ArrayList<>();
    for (String instance : instances) {
      ports.add(parsePorts(instance));
    }
    return ports;
  }

  /** Parses the address of an instance, which uses the given port and the two above it. */
  private static ProxySettings.Ports parsePorts(String address) throws CommandFailedException {
    if (!address.matches(ADDRESS_PATTERN)) {
      throw CommandFailedException.usage("proxy: --assigner: expected HOST:PORT, found " + address);
    }
    int colon = address.indexOf(':');
    int firstPort = Integer.parseInt(address.substring(colon + 1));
    return new ProxySettings.Ports(
        address.substring(0, colon), firstPort, firstPort + 1, firstPort + 2);
  }
}
