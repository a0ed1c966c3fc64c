package stonespring.testbed;

import java.util.TreeMap;

/** Formats the report of a scenario run. */
public final class ScenarioReport {
  private ScenarioReport() {}

  /** Formats a verdict as lines of text. */
  public static String format(InvariantChecker.Verdict verdict) {
    StringBuilder out = new StringBuilder();
    out.append(
        String.format(
            "service %.3f (whole), %.3f (worst 10 s), %.3f (worst op type, %s); simulated tasks%n",
            verdict.service(),
            verdict.worstWindow(),
            verdict.worstClass(),
            verdict.worstClassName()));
    new TreeMap<>(verdict.counts())
        .forEach((name, count) -> out.append(String.format("  %-55s %d%n", name, count)));
    if (verdict.violations().isEmpty()) {
      out.append(String.format("all five rules kept%n"));
    } else {
      verdict.violations().forEach(line -> out.append(String.format("BROKEN %s%n", line)));
    }
    return out.toString();
  }
}
