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

/** Runs a proxy of this project that follows an instance. */
@Command(
    name = "proxy",
    mixinStandardHelpOptions = true,
    description =
        "Runs a plain proxy that follows the assigner of a settings script: POST /op/TYPE with header x-op.")
final class ProxyCommand implements Callable<Integer> {
  private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";
  private static final String ADDRESS_PATTERN = "[A-Za-z0-9.-]+:[0-9]{1,5}";
  private static final long DECI_MILLIS_PER_MILLI = 10;
  private static final double USUAL_REQUESTS_PER_SECOND = 1;
  private static final int ROUTE_UPDATE_MICROS = 0;
  private static final long SILENCE_TIMEOUT_MILLIS = 3_000;
  private static final int MIN_RECONNECT_MILLIS = 300;
  private static final int MAX_RECONNECT_MILLIS = 1_500;
  private static final int SESSION_TIMEOUT_SECONDS = 3;

  @Parameters(
      paramLabel = "FILE",
      description = "The assigner's settings script; op types, shunning and ports come from it.")
  private Path file;

  @Option(names = "--name", required = true, description = "Its name; no other proxy may have it.")
  private String name;

  @Option(names = "--zone", required = true, description = "Its zone.")
  private String zone;

  @Option(
      names = "--port",
      defaultValue = "0",
      description = "Where it takes ops; 0 takes a free port.")
  private int port;

  @Option(
      names = "--assigner",
      split = ",",
      paramLabel = "<assigners>",
      description = "Assigners as HOST:PORT, in order (the script's).")
  private List<String> instances = new ArrayList<>();

  @Mixin private LoggingOptions logging;

  @Override
  public Integer call() throws Exception {
    logging.apply();
    InstanceSettings script = InputFiles.readSettings(file);
    if (!script.zones().contains(zone) || !name.matches(NAME_PATTERN)) {
      throw CommandFailedException.usage(
          "--zone is one of " + script.zones() + ", --name letters, digits, dots and dashes");
    }
    ProxySettings settings = proxySettings(script);
    MultiThreadIoEventLoopGroup eventLoops =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    Proxy proxy = new Proxy(settings, (EventLoop) eventLoops.next()).start(eventLoops, port);
    System.out.println("proxy " + name + " 127.0.0.1:" + proxy.port());
    return ForegroundProcess.runUntilKilled();
  }

  private ProxySettings proxySettings(InstanceSettings script) throws CommandFailedException {
    RouterSettings routing = StandIns.routerSettings(script, RequestClass::latencyObjective);
    return new ProxySettings(
        name,
        zone,
        System.nanoTime(),
        routing,
        StandIns.requestTimeoutsMillis(script),
        List.of(),
        USUAL_REQUESTS_PER_SECOND,
        new ProxySettings.InstanceLink(
            instancePorts(script),
            ROUTE_UPDATE_MICROS,
            script.settings().reportInterval() / DECI_MILLIS_PER_MILLI,
            SILENCE_TIMEOUT_MILLIS,
            MIN_RECONNECT_MILLIS,
            MAX_RECONNECT_MILLIS,
            SESSION_TIMEOUT_SECONDS));
  }

  private List<ProxySettings.Ports> instancePorts(InstanceSettings script)
      throws CommandFailedException {
    if (instances.isEmpty()) {
      return List.of(ports(script.listen().host() + ":" + script.listen().port()));
    }
    List<ProxySettings.Ports> ports = new ArrayList<>();
    for (String instance : instances) {
      ports.add(ports(instance));
    }
    return ports;
  }

  /** Parses an instance's address; its ports follow each other. */
  private static ProxySettings.Ports ports(String address) throws CommandFailedException {
    if (!address.matches(ADDRESS_PATTERN)) {
      throw CommandFailedException.usage("--assigner is HOST:PORT, not " + address);
    }
    int colon = address.indexOf(':');
    int first = Integer.parseInt(address.substring(colon + 1));
    return new ProxySettings.Ports(address.substring(0, colon), first, first + 1, first + 2);
  }
}
