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
import stonespring.config.script.ScriptException;
import stonespring.model.RequestClass;
import stonespring.proxy.Proxy;
import stonespring.proxy.ProxySettings;
import stonespring.proxy.routing.RouterSettings;
import stonespring.testbed.StandIns;

@Command(
    name = "proxy",
    mixinStandardHelpOptions = true,
    description =
        "Runs a plain proxy that follows the assigner of a settings script: POST /op/TYPE with header x-op.")
final class ProxyCommand implements Callable<Integer> {
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
      description = "Assigners as HOST:PORT, in order (the script's).")
  private List<String> assigners = new ArrayList<>();

  @Mixin private Logs logs;

  @Override
  public Integer call() throws Exception {
    logs.set();
    InstanceSettings of;
    try {
      of = InstanceSettings.read(file);
    } catch (ScriptException e) {
      return Exit.fail(Exit.USAGE, "settings:\n" + e.getMessage());
    }
    if (!of.zones().contains(zone) || !name.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")) {
      return Exit.fail(
          Exit.USAGE,
          "--zone is one of " + of.zones() + ", --name letters, digits, dots and dashes");
    }
    List<ProxySettings.Ports> ports = new ArrayList<>();
    for (String assigner :
        assigners.isEmpty() ? List.of(of.listen().host() + ":" + of.listen().port()) : assigners) {
      if (!assigner.matches("[A-Za-z0-9.-]+:[0-9]{1,5}")) {
        return Exit.fail(Exit.USAGE, "--assigner is HOST:PORT, not " + assigner);
      }
      int at = Integer.parseInt(assigner.substring(assigner.indexOf(':') + 1));
      ports.add(
          new ProxySettings.Ports(
              assigner.substring(0, assigner.indexOf(':')), at, at + 1, at + 2));
    }
    RouterSettings router = StandIns.routing(of, RequestClass::latencyObjective);
    ProxySettings settings =
        new ProxySettings(
            name,
            zone,
            System.nanoTime(),
            router,
            StandIns.opTimeouts(of),
            List.of(),
            ports,
            1,
            0,
            of.settings().reportInterval() / 10,
            3_000,
            300,
            1_500,
            3);
    MultiThreadIoEventLoopGroup loops =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    Proxy proxy = new Proxy(settings, (EventLoop) loops.next()).start(loops, port);
    System.out.println("proxy " + name + " 127.0.0.1:" + proxy.port());
    Thread.currentThread().join();
    return Exit.GOOD;
  }
}
