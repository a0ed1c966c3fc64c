package stonespring.model;

import java.util.List;

/**
 * One instance of the decision logic. A host passes all events of a batch to {@link #handle}, then
 * carries out, in order, what {@link #endBatch} returns. An engine does no I/O, reads no clock and
 * starts no thread; it must be called from one thread at a time.
 */
public interface DecisionEngine {
  /**
   * Takes one event.
   *
   * @param now the host's clock, {@link DeciMillis}; never goes back
   */
  void handle(long now, Event event);

  /**
   * Ends the batch.
   *
   * @param now the host's clock, {@link DeciMillis}
   * @return the commands to carry out, in order; empty if there are none
   */
  List<Command> endBatch(long now);
}
