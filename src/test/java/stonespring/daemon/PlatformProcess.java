package stonespring.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** An instance in a process of its own, started in the way the platform starts it. */
final class PlatformProcess implements AutoCloseable {
  private static final String SERVES_AT = " serves at 127.0.0.1:";

  private final Process process;
  private final Path logFile;

  private PlatformProcess(Process process, Path logFile) {
    this.process = process;
    this.logFile = logFile;
  }

  static PlatformProcess start(Path folder, Path configFile) throws IOException {
    return start(command(), folder, configFile);
  }

  /** Starts the process from a shell, after a command whose effect it inherits. */
  static PlatformProcess startAfter(String shellCommand, Path folder, Path configFile)
      throws IOException {
    List<String> command =
        new ArrayList<>(List.of("sh", "-c", shellCommand + "; exec \"$@\"", "sh"));
    command.addAll(command());
    return start(command, folder, configFile);
  }

  private static PlatformProcess start(List<String> command, Path folder, Path configFile)
      throws IOException {
    Path logFile = folder.resolve("log");
    // As in the deployment's command: the tests themselves may run with SIGHUP ignored.
    List<String> launched = new ArrayList<>(List.of("env", "--default-signal=HUP"));
    launched.addAll(command);
    ProcessBuilder builder =
        new ProcessBuilder(launched).redirectErrorStream(true).redirectOutput(logFile.toFile());
    builder.environment().put("NODE_CONFIG", configFile.toString());
    return new PlatformProcess(builder.start(), logFile);
  }

  private static List<String> command() {
    return List.of(
        javaTool("java"),
        "-Xmx64m",
        "-cp",
        System.getProperty("java.class.path"),
        "stonespring.Main",
        "assigner");
  }

  private static String javaTool(String name) {
    return Path.of(System.getProperty("java.home"), "bin", name).toString();
  }

  String log() throws IOException {
    return Files.readString(logFile);
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Waits until the process has started, and returns the port that it listens on. */
  int awaitPort() throws Exception {
    awaitLog(SERVES_AT);
    awaitLog("have not joined");
    String log = log();
    String rest = log.substring(log.indexOf(SERVES_AT) + SERVES_AT.length());
    return Integer.parseInt(rest.substring(0, rest.indexOf(',')));
  }

  /** Waits until the log contains a text. */
  void awaitLog(String text) throws Exception {
    long deadlineNanos = deadlineNanos();
    while (!log().contains(text)) {
      assertTrue(System.nanoTime() < deadlineNanos && isAlive(), log());
      Thread.onSpinWait();
    }
  }

  /** Waits until {@code count} threads of a name are running or the log contains a text. */
  void awaitThreadsOrLog(String name, int count, String text) throws Exception {
    long deadlineNanos = deadlineNanos();
    int found = 0;
    while (found < count && !log().contains(text)) {
      assertTrue(System.nanoTime() < deadlineNanos && isAlive(), log());
      found = threadDump().split(name, -1).length - 1;
    }
  }

  private static long deadlineNanos() {
    return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PlatformFixture.TIMEOUT_MILLIS);
  }

  private String threadDump() throws IOException {
    Process jstack =
        new ProcessBuilder(javaTool("jstack"), String.valueOf(process.pid()))
            .redirectErrorStream(true)
            .start();
    return new String(jstack.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  /** Sends SIGHUP. */
  void sendSighup() throws Exception {
    String pid = String.valueOf(process.pid());
    assertEquals(0, new ProcessBuilder("kill", "-HUP", pid).start().waitFor());
  }

  /**
   * Sets the soft limit of file descriptors. Under a limit below those in use, the process can open
   * no file and no socket.
   */
  void limitDescriptors(int limit) throws Exception {
    String pid = String.valueOf(process.pid());
    Process prlimit =
        new ProcessBuilder("prlimit", "--pid", pid, "--nofile=" + limit + ":").start();
    assertEquals(0, prlimit.waitFor());
  }

  /** Returns the files that the process has open. */
  Set<Path> openFiles() throws IOException {
    Set<Path> files = new HashSet<>();
    try (DirectoryStream<Path> descriptors =
        Files.newDirectoryStream(Path.of("/proc/" + process.pid() + "/fd"))) {
      for (Path descriptor : descriptors) {
        files.add(Files.readSymbolicLink(descriptor));
      }
    }
    return files;
  }

  /** Sends SIGTERM and returns how long the process took to end. */
  long measureTerminationNanos() throws Exception {
    process.destroy();
    long startedNanos = System.nanoTime();
    assertTrue(process.waitFor(PlatformFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    return System.nanoTime() - startedNanos;
  }

  /** Waits until the process ends by itself, and returns its exit code. */
  int awaitExitCode() throws InterruptedException {
    return process.waitFor();
  }

  @Override
  public void close() {
    process.destroyForcibly().onExit().join();
  }
}
