package stonespring.daemon;

import java.util.ArrayList;
import java.util.List;

/** What led to a batch, for the log of its commands; bounded. Not thread-safe. */
final class CommandCauses {
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

  /** Lists the causes in order, and how many more there were. */
  @Override
  public String toString() {
    return String.join(", ", causes) + (omitted > 0 ? " and " + omitted + " more" : "");
  }
}
