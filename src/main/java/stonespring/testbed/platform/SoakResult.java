package stonespring.testbed.platform;

import java.util.List;

/**
 * The result of a run of the soak test. Immutable.
 *
 * @param seed the seed of the run
 * @param readyMillis the time from each start of a process to its first answer
 * @param violations what broke a check; empty if the run passed
 * @param events what was played, with times since the start of the run
 */
public record SoakResult(
    long seed, List<Long> readyMillis, List<String> violations, List<String> events) {
  /** Returns whether no check was broken. */
  public boolean passed() {
    return violations.isEmpty();
  }
}
