package stonespring.daemon;

import java.util.Optional;

/** A running instance, as the process that runs it sees it. Thread-safe. */
public interface Instance {
  /**
   * Waits until the instance has ended.
   *
   * @return the failure that ended it, empty if it was stopped
   */
  Optional<Throwable> awaitEnd() throws InterruptedException;

  /** Stops an instance that has started, in order. May be called once. */
  void stop() throws InterruptedException;
}
