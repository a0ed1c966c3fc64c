package stonespring.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests exit codes and output of commands that end without a signal. */
final class CommandsTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private PrintStream systemOut;
  private PrintStream systemErr;
  @TempDir private Path folder;

  @BeforeEach
  void captureOutput() {
    systemOut = System.out;
    systemErr = System.err;
    System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
    System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  @AfterEach
  void restoreOutput() {
    System.setOut(systemOut);
    System.setErr(systemErr);
  }

  private String standardOutput() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String standardError() {
    return err.toString(StandardCharsets.UTF_8);
  }

  private String writeInvalidFile() throws Exception {
    return Files.writeString(folder.resolve("invalid"), "no script {").toString();
  }

  @Test
  void helpListsEverySubcommand() {
    assertEquals(0, Commands.run("--help"));
    for (String name :
        List.of(
            "serve",
            "assigner",
            "check",
            "snapshot",
            "day",
            "scenario",
            "task",
            "proxy",
            "registry",
            "measure",
            "load",
            "solve",
            "compare",
            "simhost")) {
      assertTrue(standardOutput().matches("(?s).*\\b" + name + "\\b.*"), name);
    }
  }

  @Test
  void exitsWithUsageCodeWhenSettingsAreInvalid() throws Exception {
    String file = writeInvalidFile();
    assertEquals(2, Commands.run("serve", file));
    assertTrue(
        standardError().startsWith("stonespring: settings:\n" + file + ":1"), standardError());
    err.reset();
    assertEquals(2, Commands.run("proxy", "--name", "p", "--zone", "west", file));
    assertTrue(
        standardError().startsWith("stonespring: settings:\n" + file + ":1"), standardError());
    err.reset();
    assertEquals(2, Commands.run("check", file));
    assertTrue(standardError().startsWith(file + ":1"), standardError());
  }

  @ParameterizedTest
  @ValueSource(strings = {"day", "scenario"})
  void exitsWithUsageCodeWhenAScenarioIsInvalidUnderBothCommandNames(String name) throws Exception {
    String file = writeInvalidFile();
    assertEquals(2, Commands.run(name, file));
    assertTrue(standardError().startsWith("stonespring: day:\n" + file + ":1"), standardError());
  }

  @Test
  void printsOneLineWhenThePlatformConfigurationIsInvalid() throws Exception {
    String file = writeInvalidFile();
    assertEquals(2, Commands.run("assigner", file));
    assertTrue(standardError().startsWith("stonespring: " + file + ": line 1: "), standardError());
    assertEquals(1, standardError().lines().count(), standardError());
  }

  @Test
  void exitsWithUsageCodeWhenAnArgumentIsOutOfRange() throws Exception {
    String file = folder.resolve("load.rec.gz").toString();
    assertEquals(2, Commands.run("load", "quiet", file, "--tasks", "2"));
    assertEquals(
        "stonespring: load: expected --tasks from 3 to 2000 and --proxies from 1 to 2000, found --tasks 2 and --proxies 24\n",
        standardError());
    err.reset();
    assertEquals(2, Commands.run("task", "--port", "65535", "--count", "2"));
    assertEquals(
        "stonespring: task: expected --count of at least 1 and all ports from 1 to 65535, found --port 65535 and --count 2\n",
        standardError());
    err.reset();
    assertEquals(2, Commands.run("snapshot", "7000", "--subtree", "proxy"));
    assertEquals(
        "stonespring: snapshot: --subtree: expected a path that starts and ends with a slash, found proxy\n",
        standardError());
    err.reset();
    assertEquals(2, Commands.run("measure", "solver", "--rounds", "0"));
    assertEquals(
        "stonespring: measure solver: expected --tasks, --proxies and --rounds of at least 1, found 800, 800 and 0\n",
        standardError());
  }

  @Test
  void exitsWithFailedCodeWhenARecordingIsMissingAndWithUsageCodeWhenSeedsAreOutOfRange()
      throws Exception {
    String file = folder.resolve("missing.rec.gz").toString();
    assertEquals(1, Commands.run("solve", file));
    assertEquals("stonespring: solve: " + file + "\n", standardError());
    err.reset();
    assertEquals(2, Commands.run("compare", "--seeds", "0", file));
    assertEquals("stonespring: compare: --seeds: expected 1 to 1000, found 0\n", standardError());
  }

  @Test
  void explainsThePlanForAGeneratedLoad() throws Exception {
    String file = folder.resolve("load.rec.gz").toString();
    assertEquals(0, Commands.run("load", "quiet", file, "--tasks", "4", "--proxies", "3"));
    assertEquals(0, Commands.run("solve", file), standardError());
    assertTrue(standardOutput().contains(" simulated tasks"), standardOutput());
    out.reset();
    assertEquals(2, Commands.run("solve", file, "--at", "-1"));
    assertTrue(standardError().contains("solve: --at: expected 0 to "), standardError());
  }

  private static List<String> fieldNames(JsonNode node) {
    List<String> names = new ArrayList<>();
    node.fieldNames().forEachRemaining(names::add);
    return names;
  }

  /** Field names of the JSON output must not follow renames of the classes behind them. */
  @Test
  void printsThePlanAsJsonWithFieldNamesOfTheOutputFormat() throws Exception {
    String file = folder.resolve("load.rec.gz").toString();
    assertEquals(0, Commands.run("load", "quiet", file, "--tasks", "4", "--proxies", "3"));
    assertEquals(0, Commands.run("solve", file, "--json"), standardError());
    assertTrue(
        standardOutput().startsWith("{")
            && standardOutput().endsWith("}" + System.lineSeparator()));
    JsonNode report = new ObjectMapper().readTree(standardOutput());
    assertEquals(Set.of("recording", "at_s", "plan", "gap"), Set.copyOf(fieldNames(report)));
    JsonNode plan = report.path("plan");
    assertEquals(
        List.of("tables", "shares", "cost", "lowerBound", "unplaced", "newLines", "changed"),
        fieldNames(plan));
    JsonNode table = plan.path("tables").path(0);
    assertEquals(List.of("proxy", "lines"), fieldNames(table));
    assertEquals(List.of("number"), fieldNames(table.path("proxy")));
    JsonNode line = table.path("lines").path(0);
    assertEquals(List.of("task", "weight", "byOpType"), fieldNames(line));
    assertEquals(List.of("name"), fieldNames(line.path("task")));
    JsonNode share = plan.path("shares").path(0);
    assertEquals(
        List.of("task", "capacity", "load", "target", "price", "why", "unmet"), fieldNames(share));
    assertTrue(
        Set.of("BALANCED", "COLD_CAP", "UNFIT", "FEW_LINES").contains(share.path("why").asText()));
  }
}
