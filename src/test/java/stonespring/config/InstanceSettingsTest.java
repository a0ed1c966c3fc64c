package stonespring.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonespring.config.script.ScriptException;

final class InstanceSettingsTest {
  private static final String VALID_SETTINGS =
      """
            fleet = {"zones": ["west", "east"], "proxies": 24}
            op_types = [{"name": "view", "repeat": "retryable", "target_latency_ms": 500, "op_timeout_ms": 1500}]
            channel = {"lines_per_s": 2900, "backlog_lines": 5800}
            rules = {"empty_limit_s": 5, "cold_s": 17, "cold_share": 0.17, "fall_multiple": 4}
            tasks = {"from": "file", "path": "tasks.json"}
            """;

  @TempDir private Path folder;

  private Path writeScript(String text) throws IOException {
    return Files.writeString(folder.resolve("s.star"), text);
  }

  @Test
  void decodesDurationsZonesAndPaths() throws Exception {
    InstanceSettings settings = InstanceSettings.read(writeScript(VALID_SETTINGS));
    assertEquals(5_000, settings.settings().requestClasses().get(0).latencyObjective());
    assertEquals(170_000, settings.settings().slowStart().window());
    assertEquals(List.of("west", "east"), settings.zones());
    assertEquals(
        folder.resolve("tasks.json"),
        ((InstanceSettings.Source.FromFile) settings.endpointList().source()).path());
  }

  @Test
  void reportsEveryErrorOfTheSettingsInOneRun() throws Exception {
    Path file =
        writeScript(
            VALID_SETTINGS
                .replace("\"proxies\"", "\"proxys\"")
                .replace("\"retryable\"", "\"retriable\"")
                .replace("5800", "'many'")
                .replace("0.17", "1.7")
                .replace("tasks = {", "taks = {"));
    ScriptException e = assertThrows(ScriptException.class, () -> InstanceSettings.read(file));
    String messages = e.getMessage().replace(file.toString(), "s");
    assertTrue(messages.contains("s:1:1: 'fleet.proxies' is missing"), messages);
    assertTrue(
        messages.contains("s:1:37: 'fleet.proxys' is not a known key; did you mean 'proxies'?"),
        messages);
    assertTrue(messages.contains("got 'retriable'; did you mean 'retryable'?"), messages);
    assertTrue(
        messages.contains("'channel.backlog_lines' must be a whole number, got a string"),
        messages);
    assertTrue(messages.contains("'rules.cold_share' must be from 0.001 to 1, got 1.7"), messages);
    assertTrue(messages.contains("'tasks' is missing"), messages);
    assertTrue(messages.contains("'taks' is not a known key; did you mean 'tasks'?"), messages);
  }
}
