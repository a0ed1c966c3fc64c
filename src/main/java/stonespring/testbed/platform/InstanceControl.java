package stonespring.testbed.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Starts, signals and ends processes of an instance, as the platform does. Confined to the run's
 * thread.
 */
final class InstanceControl {
  /** Longest time from the start of a process to its first answer. */
  static final long MAX_READY_MILLIS = 30_000;

  private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final long PROBE_INTERVAL_MILLIS = 20;
  private static final long PROBE_ANSWER_MILLIS = 2_000;

  private final String command;
  private final Path folder;
  private final Path configFile;
  private final int port;
  private final int descriptors;
  private Process process;
  private int starts;

  /**
   * Prepares an instance without starting it.
   *
   * @param command the shell command that starts it
   * @param folder the folder for logs
   */
  InstanceControl(String command, Path folder, Path configFile, int port, int descriptors) {
    this.command = command;
    this.folder = folder;
    this.configFile = configFile;
    this.port = port;
    this.descriptors = descriptors;
  }

  /** Reads the command that starts an instance from a deployment file. */
  static String readRunLine(Path deploymentFile) throws IOException {
    Matcher matcher = RUN_LINE.matcher(Files.readString(deploymentFile));
    if (!matcher.find()) {
      throw new IOException(deploymentFile + ": expected a line that starts with 'run = \"'");
    }
    return matcher.group(1);
  }

  Path logFile() {
    return folder.resolve("instance-" + starts + ".log");
  }

  /**
   * Starts a process and waits for its first answer.
   *
   * @return the time from the start to the answer, in milliseconds; empty if the process ended or
   *     did not answer in time
   */
  OptionalLong start() throws IOException, InterruptedException {
    starts++;
    long startedNanos = System.nanoTime();
    ProcessBuilder builder =
        new ProcessBuilder("sh", "-c", "ulimit -n " + descriptors + "; " + command)
            .redirectErrorStream(true)
            .redirectOutput(logFile().toFile());
    builder.environment().put("NODE_CONFIG", configFile.toString());
    process = builder.start();
    while (process.isAlive()) {
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
      if (millis > MAX_READY_MILLIS) {
        return OptionalLong.empty();
      }
      if (answers()) {
        return OptionalLong.of(millis);
      }
      Thread.sleep(PROBE_INTERVAL_MILLIS);
    }
    return OptionalLong.empty();
  }

  private boolean answers() {
    try (Socket probe = new Socket()) {
      probe.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MILLIS);
      probe.setSoTimeout((int) PROBE_ANSWER_MILLIS);
      probe.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
      return probe.getInputStream().read() == 'P';
    } catch (IOException e) {
      return false;
    }
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Sends a signal; the name is without the prefix SIG. */
  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder(List.of("kill", "-" + name, String.valueOf(process.pid())))
        .redirectErrorStream(true)
        .start()
        .waitFor();
  }

  /** Waits until the process has ended; returns false if the time passes first. */
  boolean awaitEnd(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  /** Kills the process if it still runs. */
  void kill() {
    if (process != null) {
      process.destroyForcibly().onExit().join();
    }
  }

  int exitCode() {
    return process.exitValue();
  }
}
