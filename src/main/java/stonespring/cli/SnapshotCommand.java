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

/** Prints the keys that a running instance publishes. */
@Command(
    name = "snapshot",
    mixinStandardHelpOptions = true,
    description =
        "Prints the keys that a running instance publishes, each with its value on one line, as CHP clients"
            + " receive them.")
final class SnapshotCommand implements Callable<Integer> {
  private static final long SILENCE_TIMEOUT_MILLIS = 5_000; // heartbeats arrive every second
  private static final long SNAPSHOT_TIMEOUT_MILLIS = 2 * SILENCE_TIMEOUT_MILLIS;

  @Parameters(paramLabel = "PORT", description = "Port of the instance for snapshots.")
  private int port;

  @Option(
      names = "--host",
      defaultValue = "127.0.0.1",
      description = "Host of the instance (default: ${DEFAULT-VALUE}).")
  private String host;

  @Option(
      names = "--subtree",
      defaultValue = "",
      description = "Subtree of keys to print, such as /proxy/p1/ (default: all keys).")
  private String subtree;

  @Option(names = "--follow", description = "Continue with updates until stopped.")
  private boolean follow;

  @Override
  public Integer call() throws InterruptedException, CommandFailedException {
    if (!subtree.isEmpty() && !(subtree.startsWith("/") && subtree.endsWith("/"))) {
      throw CommandFailedException.usage(
          "snapshot: --subtree: expected a path that starts and ends with a slash, found "
              + subtree);
    }
    MultiThreadIoEventLoopGroup eventLoops =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    Printer printer = new Printer();
    ChpClient client =
        new ChpClient((EventLoop) eventLoops.next(), subtree, SILENCE_TIMEOUT_MILLIS, printer);
    client.connect(host, port, false, ZmtpLimits.DEFAULT);
    try {
      String endCause =
          follow
              ? printer.ended.get()
              : printer.ended.get(SNAPSHOT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      if (!endCause.isEmpty()) {
        throw CommandFailedException.failed(
            "snapshot: the session with the instance ended: " + endCause);
      }
      return ExitCode.OK;
    } catch (ExecutionException | TimeoutException e) {
      throw CommandFailedException.failed(
          "snapshot: no snapshot received within " + SNAPSHOT_TIMEOUT_MILLIS + " ms", e);
    } finally {
      eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  /** Prints keys as they arrive; called on the client's event loop. */
  private final class Printer implements ChpClient.Listener {
    /**
     * Completed when the command is finished: with the reason why the session ended, or with an
     * empty string once a snapshot has been printed without {@code --follow}.
     */
    private final CompletableFuture<String> ended = new CompletableFuture<>();

    @Override
    public void snapshotReceived(List<ChpMessage.KvSync> keys, long sequence) {
      for (ChpMessage.KvSync key : keys) {
        print(key.key(), key.value());
      }
      System.out.println("# sequence " + sequence);
      if (!follow) {
        ended.complete("");
      }
    }

    @Override
    public void updateReceived(ChpMessage.KvPub update) {
      print(update.key(), update.value());
    }

    @Override
    public void sessionEnded(String cause) {
      ended.complete(cause);
    }
  }

  private static void print(String key, byte[] value) {
    String text = value.length == 0 ? "deleted" : new String(value, StandardCharsets.UTF_8);
    System.out.println(key + " " + text);
  }
}
