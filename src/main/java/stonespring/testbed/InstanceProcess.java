package stonespring.testbed;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An instance in a separate process, so that it can be killed without a shutdown. */
final class InstanceProcess {
  private static final int KILL_SECONDS = 5;
  private static final int STOP_SECONDS = 8;

  private final List<String> command = new ArrayList<>();
  private final Path log;
  private final int port;
  private Process process;

  /**
   * Prepares an instance without starting it.
   *
   * @param script the settings of the instance
   * @param port the first of the instance's consecutive ports
   * @param registryPort the registry's port, in place of the one in the script; 0 for the one in
   *     the script
   * @param savedList the file in which the instance saves the endpoint list
   * @param log the file to which the instance's standard error is appended
   */
  InstanceProcess(Path script, int port, int registryPort, Path savedList, Path log) {
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(
        List.of(
            "-XX:+UseSerialGC",
            "-cp",
            System.getProperty("java.class.path"),
            "stonespring.Main",
            "serve",
            script.toString(),
            "--port",
            String.valueOf(port),
            "--saved-list",
            savedList.toString()));
    if (registryPort > 0) {
      command.addAll(List.of("--registry-port", String.valueOf(registryPort)));
    }
    this.log = log;
    this.port = port;
  }

  /** Starts the process and waits until the instance serves. */
  void start() throws IOException {
    process =
        new ProcessBuilder(command)
            .redirectError(ProcessBuilder.Redirect.appendTo(new File(log.toString())))
            .start();
    BufferedReader output =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    String firstLine = output.readLine();
    if (firstLine == null || !firstLine.startsWith("serving ")) {
      throw new IOException(
          "instance at port "
              + port
              + " did not start: expected a first output line that starts with \"serving \", got "
              + (firstLine == null ? "none" : "\"" + firstLine + "\"")
              + "; its log is "
              + log);
    }
  }

  int port() {
    return port;
  }

  /** Kills the process and waits at most {@link #KILL_SECONDS} for its end. */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor(KILL_SECONDS, TimeUnit.SECONDS);
  }

  /** Asks the process to stop; returns whether it ended within {@link #STOP_SECONDS}. */
  boolean stop() throws InterruptedException {
    process.destroy();
    return process.waitFor(STOP_SECONDS, TimeUnit.SECONDS);
  }

  /** Returns the resident set size of the process. */
  long residentBytes() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024;
      }
    }
    throw new IOException("no VmRSS line in /proc/" + process.pid() + "/status of the instance");
  }

  boolean alive() {
    return process != null && process.isAlive();
  }
}
