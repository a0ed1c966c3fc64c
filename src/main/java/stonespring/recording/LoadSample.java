package stonespring.recording;

import stonespring.model.EndpointRecord;

/** Something that happened on a recorded day; times in tenths of a millisecond since its start. */
public sealed interface LoadSample {
  long at();

  /** Ops that came to a proxy since the head's {@code every} before, by op type. */
  record Came(long at, int proxy, int[] ops) implements LoadSample {}

  /**
   * What the list told of a task; {@code startedAt} as {@link EndpointRecord} has it, on the
   * recording's own clock.
   */
  record Listed(
      long at, String task, int zone, double weight, EndpointRecord.State state, long startedAt)
      implements LoadSample {}

  /**
   * A task's process started, cold or warm, with these cores at this speed (1 is usual), or died: 0
   * cores.
   */
  record Ran(long at, String task, int zone, int cores, double speed, boolean cold)
      implements LoadSample {}

  /** From here a task tells so many times the capacity that it has; 1 is the truth. */
  record Claimed(long at, String task, double times) implements LoadSample {}

  /** From here sums come so much later than usual. */
  record Late(long at, long by) implements LoadSample {}
}
