package stonespring.config.script;

/**
 * Checks that a value that leaves a script can be read and printed: lists and dicts may be shared,
 * so that a small script can create a value that contains itself or has billions of items.
 */
final class ValueSizeChecker {
  private static final int MAX_DEPTH = 100;
  private static final int MAX_ITEMS = 200_000;

  private final SourceLocation location;
  private int items;

  /** Creates a checker whose errors have the given location. */
  ValueSizeChecker(SourceLocation location) {
    this.location = location;
  }

  /** Checks a value; fails if it is nested too deeply or has too many items in all. */
  void check(Object value) {
    check(value, 0);
  }

  private void check(Object value, int depth) {
    if (depth > MAX_DEPTH || ++items > MAX_ITEMS) {
      throw new EvaluationException(
          location,
          "the value is nested more than "
              + MAX_DEPTH
              + " levels deep or has more than "
              + MAX_ITEMS
              + " items");
    }
    if (value instanceof ScriptList list) {
      list.forEach(item -> check(item, depth + 1));
    } else if (value instanceof ScriptDict dict) {
      dict.values().forEach(item -> check(item, depth + 1));
    }
  }
}
