package stonespring.netty;

import java.util.concurrent.TimeUnit;

/**
 * Decides which occurrences of a condition are logged: the first one of each episode. An episode
 * ends when the condition has not occurred for {@link #QUIET_SECONDS}. Not thread-safe.
 */
public final class EpisodeLog {
  private static final long QUIET_SECONDS = 10;

  private boolean occurred;
  private long lastOccurrenceNanos;

  /** Records an occurrence and returns whether it is to be logged. */
  public boolean shouldLog() {
    long now = System.nanoTime();
    boolean first =
        !occurred || now - lastOccurrenceNanos > TimeUnit.SECONDS.toNanos(QUIET_SECONDS);
    occurred = true;
    lastOccurrenceNanos = now;
    return first;
  }
}
