package stonespring.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs a short scenario end to end on sockets, with faults. The instance runs in a separate
 * process, which is killed and restarted.
 */
final class ScenarioTest {
  private static final String SCRIPT =
      """
            assigner = {"port": 0}
            fleet = {"zones": ["west", "east"], "proxies": 6, "standing_lines": 3, "shun_after": 3}
            op_types = [
                {"name": "view", "repeat": "retryable", "target_latency_ms": 500, "op_timeout_ms": 1500, "benefit": 3},
                {"name": "extract", "repeat": "once_only", "target_latency_ms": 600, "op_timeout_ms": 1500, "benefit": 2},
            ]
            channel = {"lines_per_s": 2000, "message_head_lines": 10, "backlog_lines": 2000, "messages_most": 30}
            rules = {"empty_limit_s": 4, "cold_s": 4, "cold_share": 0.2, "fall_multiple": 4}
            reports = {"every_s": 0.5}
            tasks = {"from": "registry", "port": 1, "service": "tasks", "wait_s": 5}
            day = {
                "seconds": 14, "ops_per_s": 60, "tasks_per_zone": 4, "proxies_per_zone": 3,
                "work_ms": {"view": 20, "extract": 40}, "shares": {"view": 0.6, "extract": 0.4},
                "grace_s": 3, "list_late_s": 0.2,
                "troubles": [
                    {"kind": "deploy", "at_s": 1, "for_s": 4, "part": 0.5, "size": 0.2, "each_s": 1},
                    {"kind": "cut_in_snapshot", "at_s": 3, "part": 1, "size": 120},
                    {"kind": "proxy_stall", "at_s": 4, "for_s": 4, "part": 0.4, "size": 3600, "each_s": 4},
                    {"kind": "byte_by_byte", "at_s": 4, "for_s": 3, "part": 1},
                    {"kind": "assigner_crash", "at_s": 6, "for_s": 1, "part": 1},
                    {"kind": "crash", "at_s": 9, "for_s": 2, "part": 0.2},
                    {"kind": "reconnect", "at_s": 10, "part": 1},
                ],
            }
            """;

  @Test
  void shortScenarioWithFaultsKeepsEveryRule(@TempDir Path folder) throws Exception {
    Path script = Files.writeString(folder.resolve("day.star"), SCRIPT);
    InvariantChecker.Verdict verdict =
        new ScenarioRun(Scenario.read(script), script, 3, folder).run();
    assertTrue(verdict.violations().isEmpty(), verdict.violations().toString());
    // Guards against an empty run: requests took effect, messages were sent, proxies reconnected.
    assertTrue(
        verdict.counts().get("non-idempotent, executed once") > 100, verdict.counts().toString());
    assertTrue(verdict.counts().get("messages") > 6, verdict.counts().toString());
    assertTrue(verdict.counts().get("joins") > 12, verdict.counts().toString());
    assertTrue(verdict.service() > 0.5, ScenarioReport.format(verdict));
    assertEquals(
        verdict.counts().get("ops"),
        verdict.counts().getOrDefault("acked", 0)
            + verdict.counts().getOrDefault("rejected", 0)
            + verdict.counts().getOrDefault("aborted", 0));
  }
}
