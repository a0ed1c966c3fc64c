package stonespring.recording;

import stonespring.model.Listing;

/** Something that happened on a recorded day; times in tenths of a millisecond since its start. */
public sealed interface Moment {
  long at();

  /** Ops that came to a proxy since the head's {@code every} before, by op type. */
  record Came(long at, int proxy, int[] ops) implements Moment {}

  /**
   * What the list told of a task; {@code startedAt} as {@link Listing} has it, on the recording's
   * own clock.
   */
  record Listed(long at, String task, int zone, double weight, Listing.State state, long startedAt)
      implements Moment {}

  /**
   * A task's process started, cold or warm, with these cores at this speed (1 is usual), or died: 0
   * cores.
   */
  record Ran(long at, String task, int zone, int cores, double speed, boolean cold)
      implements Moment {}

  /** From here a task tells so many times the capacity that it has; 1 is the truth. */
  record Claimed(long at, String task, double times) implements Moment {}

  /** From here sums come so much later than usual. */
  record Late(long at, long by) implements Moment {}
}
