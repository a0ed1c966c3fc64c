package stonespring.testbed;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An instance in a process of its own, so that it can be killed outright. */
final class InstanceProcess {
  private final List<String> command = new ArrayList<>();
  private final Path log;
  private final int port;
  private Process process;

  InstanceProcess(Path script, int port, int registryPort, Path saved, Path log) {
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
            saved.toString()));
    if (registryPort > 0) {
      command.addAll(List.of("--registry-port", String.valueOf(registryPort)));
    }
    this.log = log;
    this.port = port;
  }

  /** Starts it and waits until it serves. */
  void start() throws IOException {
    process =
        new ProcessBuilder(command)
            .redirectError(ProcessBuilder.Redirect.appendTo(new File(log.toString())))
            .start();
    BufferedReader out =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    String line = out.readLine();
    if (line == null || !line.startsWith("serving ")) {
      throw new IOException("the assigner did not start; its log is " + log);
    }
  }

  int port() {
    return port;
  }

  /** Kills it as a power cut would. */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
  }

  /** Asks it to stop; true where it did so in time. */
  boolean stop() throws InterruptedException {
    process.destroy();
    return process.waitFor(8, TimeUnit.SECONDS);
  }

  /** What it holds in memory now, bytes; by the system's own account. */
  long residentBytes() throws IOException {
    for (String line :
        java.nio.file.Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024;
      }
    }
    throw new IOException("the system tells no resident memory");
  }

  boolean alive() {
    return process != null && process.isAlive();
  }
}
