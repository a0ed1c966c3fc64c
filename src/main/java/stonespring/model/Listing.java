package stonespring.model;

/** One task as the list shows it; startedAt is in tenths of a millisecond, 0 for long ago. */
public record Listing(TaskId task, ZoneId zone, double weight, State state, long startedAt) {
  /** What the list says of a task. */
  public enum State {
    READY,
    DRAINING,
    GONE
  }
}
