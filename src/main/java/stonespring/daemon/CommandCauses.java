package stonespring.daemon;

import java.util.ArrayList;
import java.util.List;

/**
 * The causes of one batch of commands, as texts for the debug log. Keeps the first {@link
 * #MAX_CAUSES} and counts the others. Not thread-safe.
 */
final class CommandCauses {
  /** Maximum number of causes in one log line. */
  private static final int MAX_CAUSES = 8;

  private final List<String> causes = new ArrayList<>();
  private int omitted;

  void add(String cause) {
    if (causes.size() < MAX_CAUSES) {
      causes.add(cause);
    } else {
      omitted++;
    }
  }

  void clear() {
    causes.clear();
    omitted = 0;
  }

  /** Lists the kept causes in the order of their arrival, and the number of the others. */
  @Override
  public String toString() {
    return String.join(", ", causes) + (omitted > 0 ? " and " + omitted + " more" : "");
  }
}
