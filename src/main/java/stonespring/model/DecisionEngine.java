package stonespring.model;

import java.util.List;

/**
 * The decision logic of one instance. Its host passes each event of a batch to {@link #handle},
 * then calls {@link #endBatch} and executes the returned commands in order. An engine performs no
 * I/O, reads no clock and starts no thread. Callers must not invoke it from two threads at once.
 */
public interface DecisionEngine {
  /**
   * Processes one event.
   *
   * @param now the time by the host's clock, {@link DeciMillis}; never less than in an earlier call
   */
  void handle(long now, Event event);

  /**
   * Ends the current batch of events and returns the resulting commands.
   *
   * @param now the time by the host's clock, {@link DeciMillis}
   * @return the commands in the order in which the host executes them; may be empty
   */
  List<Command> endBatch(long now);
}
