package stonespring.config.script;

/**
 * Limits on the execution of a script, so that every script ends soon and uses little memory. Not
 * thread-safe; each execution has its own.
 */
final class ExecutionLimits {
  private static final int MAX_STEPS = 1_000_000;

  /** The largest number of items in a list or dict, and of characters in a concatenated string. */
  private static final int MAX_ITEMS = 100_000;

  /**
   * The largest number of items and characters that a script creates in all, with {@link
   * #COLLECTION_ITEMS} for each list, dict and entry of a dict.
   */
  private static final int MAX_CREATED_ITEMS = 1_000_000;

  /** Memory of an empty list or dict, or of an entry of a dict, in items of a list. */
  private static final int COLLECTION_ITEMS = 8;

  private int steps;
  private long createdItems;
  private SourceLocation lastLocation;

  /** Creates limits for the execution of a file. */
  ExecutionLimits(SourceLocation startOfFile) {
    this.lastLocation = startOfFile;
  }

  /**
   * Counts the execution of a statement, the evaluation of an expression, an iteration of a loop or
   * a comparison of items.
   */
  void countStep(SourceLocation location) {
    lastLocation = location;
    if (++steps > MAX_STEPS) {
      throw new EvaluationException(
          location, "the script exceeds the limit of " + MAX_STEPS + " steps");
    }
  }

  /** The location of the latest step. */
  SourceLocation lastLocation() {
    return lastLocation;
  }

  /** Counts the characters of a string that is about to be created. */
  void countText(SourceLocation location, long characters) {
    checkSize(location, characters);
    countCreated(location, characters);
  }

  /** Counts characters that were appended to a string, which now has the given length. */
  void countAppendedText(SourceLocation location, int length, int appended) {
    checkSize(location, length);
    countCreated(location, appended);
  }

  /** Counts a list that is about to be created with a number of items. */
  void countList(SourceLocation location, long items) {
    checkSize(location, items);
    countCreated(location, COLLECTION_ITEMS + items);
  }

  /** Counts a dict that is about to be created with a number of entries. */
  void countDict(SourceLocation location, long entries) {
    checkSize(location, entries);
    countCreated(location, COLLECTION_ITEMS + COLLECTION_ITEMS * entries);
  }

  /** Counts an item that was appended to a list, which now has the given size. */
  void countAppended(SourceLocation location, int size) {
    checkSize(location, size);
    countCreated(location, 1);
  }

  /** Counts an entry that was set in a dict, which now has the given size. */
  void countEntry(SourceLocation location, int size) {
    checkSize(location, size);
    countCreated(location, COLLECTION_ITEMS);
  }

  private static void checkSize(SourceLocation location, long size) {
    if (size > MAX_ITEMS) {
      throw new EvaluationException(
          location,
          "a list, dict or string exceeds the limit of " + MAX_ITEMS + " items or characters");
    }
  }

  private void countCreated(SourceLocation location, long items) {
    createdItems += items;
    if (createdItems > MAX_CREATED_ITEMS) {
      throw new EvaluationException(
          location,
          "the script creates more than "
              + MAX_CREATED_ITEMS
              + " items and characters of lists, dicts and strings");
    }
  }

  /** Returns the number of items of a range; fails if it is too large. */
  int countRange(SourceLocation location, long from, long to, long step) {
    if (step == 0) {
      throw rangeError(location, from, to, step);
    }
    boolean isEmpty = step > 0 ? from >= to : from <= to;
    // Unsigned, since the distance of two 64-bit numbers may need 64 bits without a sign.
    long distance = step > 0 ? to - from : from - to;
    long items = isEmpty ? 0 : Long.divideUnsigned(distance - 1, Math.abs(step)) + 1;
    if (items < 0 || items > MAX_ITEMS) {
      throw rangeError(location, from, to, step);
    }
    int count = (int) items;
    countList(location, count);
    return count;
  }

  private static EvaluationException rangeError(
      SourceLocation location, long from, long to, long step) {
    return new EvaluationException(
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
