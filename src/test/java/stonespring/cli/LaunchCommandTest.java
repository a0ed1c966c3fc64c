package stonespring.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests the commands that start the program, with a stand-in for the JVM that prints its process id
 * and its ignored signals.
 */
final class LaunchCommandTest {
  private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");

  /** Bit of SIGHUP in the signal masks of /proc. */
  private static final long SIGHUP_BIT = 1;

  @TempDir private Path folder;

  /** What the stand-in printed. */
  private record LaunchedJvm(long startedPid, long pid, long ignoredSignals) {
    boolean ignoresSighup() {
      return (ignoredSignals & SIGHUP_BIT) != 0;
    }
  }

  @BeforeEach
  void installStandIns() throws IOException {
    installExecutable("java", "#!/bin/sh\necho $$\ngrep SigIgn /proc/$$/status\n");
    installExecutable("mvn", "#!/bin/sh\n");
  }

  private void installExecutable(String name, String script) throws IOException {
    Path file = Files.writeString(folder.resolve(name), script);
    assertTrue(file.toFile().setExecutable(true));
  }

  private LaunchedJvm launchWithSighupIgnored(List<String> command) throws Exception {
    List<String> launched = new ArrayList<>(List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
    launched.addAll(command);
    ProcessBuilder builder = new ProcessBuilder(launched);
    builder.environment().merge("PATH", folder.toString(), (path, added) -> added + ":" + path);
    Process process = builder.start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertEquals(0, process.waitFor(), output);
    String[] lines = output.split("\n");
    return new LaunchedJvm(
        process.pid(),
        Long.parseLong(lines[0]),
        Long.parseUnsignedLong(lines[1].replaceAll("SigIgn:\\s*", ""), 16));
  }

  private static String deployedRunLine() throws IOException {
    Matcher matcher = RUN_LINE.matcher(Files.readString(Path.of("deploy/balancer.toml")));
    assertTrue(matcher.find(), "deploy/balancer.toml has a run line");
    return matcher.group(1);
  }

  private static Stream<List<String>> commands() throws IOException {
    return Stream.of(
        List.of("sh", "-c", deployedRunLine()), List.of("./stonespring", "assigner", "config"));
  }

  /** Guards against an instance that never reloads because its parent ignores SIGHUP, as nohup. */
  @ParameterizedTest
  @MethodSource("commands")
  void startsJvmWithDefaultSighupInTheSameProcess(List<String> command) throws Exception {
    LaunchedJvm jvm = launchWithSighupIgnored(command);
    assertTrue(!jvm.ignoresSighup(), "SIGHUP is ignored");
    assertEquals(jvm.startedPid(), jvm.pid(), "the JVM replaces the process that was started");
  }

  @Test
  void standInSeesIgnoredSighupWithoutLaunchCommand() throws Exception {
    assertTrue(launchWithSighupIgnored(List.of("java")).ignoresSighup());
  }
}
