package stonespring.daemon;

import java.util.Optional;

/** A running instance, as seen by the process around it. Thread-safe. */
public interface Instance {
  /**
   * Waits until the instance has ended.
   *
   * @return the failure that ended the instance, or empty if it was stopped
   */
  Optional<Throwable> awaitEnd() throws InterruptedException;

  /** Stops a started instance in an orderly way. May be called only once. */
  void stop() throws InterruptedException;
}
