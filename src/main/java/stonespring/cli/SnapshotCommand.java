package stonespring.cli;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import stonespring.chp.ChpClient;
import stonespring.chp.ChpMessage;
import stonespring.zmtp.ZmtpLimits;

@Command(
    name = "snapshot",
    mixinStandardHelpOptions = true,
    description =
        "Prints what a running assigner publishes: a key and its value a line, as any CHP client sees it.")
final class SnapshotCommand implements Callable<Integer> {
  private static final long SILENCE_MILLIS = 5_000; // ms; HUGZ comes every second

  @Parameters(paramLabel = "PORT", description = "The assigner's snapshot port.")
  private int port;

  @Option(
      names = "--host",
      defaultValue = "127.0.0.1",
      description = "Its host (${DEFAULT-VALUE}).")
  private String host;

  @Option(
      names = "--subtree",
      defaultValue = "",
      description = "A subtree, such as /proxy/p1/ (all of it).")
  private String subtree;

  @Option(names = "--follow", description = "Go on with the updates until stopped.")
  private boolean follow;

  @Override
  public Integer call() throws InterruptedException {
    if (!subtree.isEmpty() && !(subtree.startsWith("/") && subtree.endsWith("/"))) {
      return ExitCode.fail(ExitCode.USAGE, "--subtree begins and ends with a slash");
    }
    MultiThreadIoEventLoopGroup loops =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    CompletableFuture<String> end = new CompletableFuture<>();
    ChpClient client =
        new ChpClient(
            (EventLoop) loops.next(),
            subtree,
            SILENCE_MILLIS,
            new ChpClient.Listener() {
              @Override
              public void snapshot(List<ChpMessage.KvSync> keys, long sequence) {
                keys.forEach(key -> print(key.key(), key.value()));
                System.out.println("# sequence " + sequence);
                if (!follow) {
                  end.complete("");
                }
              }

              @Override
              public void update(ChpMessage.KvPub update) {
                print(update.key(), update.value());
              }

              @Override
              public void ended(String cause) {
                end.complete(cause);
              }
            });
    client.dial(host, port, false, ZmtpLimits.USUAL);
    try {
      String cause = follow ? end.get() : end.get(2 * SILENCE_MILLIS, TimeUnit.MILLISECONDS);
      return cause.isEmpty() ? ExitCode.OK : ExitCode.fail(ExitCode.FAILED, "snapshot: " + cause);
    } catch (ExecutionException | TimeoutException e) {
      return ExitCode.fail(ExitCode.FAILED, "snapshot: no snapshot came");
    } finally {
      loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static void print(String key, byte[] value) {
    System.out.println(
        key + (value.length == 0 ? " deleted" : " " + new String(value, StandardCharsets.UTF_8)));
  }
}
