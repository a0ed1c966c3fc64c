package stonespring.config.script;

/** Limits on the execution of a script, so that every script ends soon and uses little memory. */
final class ExecutionLimits {
  private static final int MAX_STEPS = 1_000_000;

  /** The largest number of items in a list or dict, and of characters in a concatenated string. */
  private static final int MAX_ITEMS = 100_000;

  private int steps;

  /**
   * Counts the execution of a statement, the evaluation of an expression or an iteration of a loop.
   */
  void countStep(SourceLocation location) {
    if (++steps > MAX_STEPS) {
      throw new EvaluationException(
          location, "the script exceeds the limit of " + MAX_STEPS + " steps");
    }
  }

  /** Checks the size of a list, dict or string. */
  static void checkSize(SourceLocation location, int size) {
    if (size > MAX_ITEMS) {
      throw new EvaluationException(
          location,
          "a list, dict or string exceeds the limit of " + MAX_ITEMS + " items or characters");
    }
  }

  /** Checks the size of a range before it is created. */
  static void checkRange(SourceLocation location, long from, long to, long step) {
    if (step == 0 || Math.abs((to - from) / step) > MAX_ITEMS) {
      throw new EvaluationException(
          location,
          "range: expected a step other than 0 and at most "
              + MAX_ITEMS
              + " items, got a range from "
              + from
              + " to "
              + to
              + " with step "
              + step);
    }
  }
}
