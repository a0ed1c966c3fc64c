package stonespring.netty;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;

/**
 * Limits the number of lines per second that one kind of event may log. Events beyond the limit are
 * counted, and their number is logged with the first event of a later second. Thread-safe.
 */
public final class LogRateLimit {
  private final Logger log;
  private final int maxLinesPerSecond;

  /** What is counted, in the plural, as it is named in the line with the count. */
  private final String events;

  private long currentSecond;
  private int loggedThisSecond;
  private long suppressed;

  /**
   * Creates a limit.
   *
   * @param events what is counted, in the plural, for example {@code connections closed}
   */
  public LogRateLimit(Logger log, int maxLinesPerSecond, String events) {
    this.log = log;
    this.maxLinesPerSecond = maxLinesPerSecond;
    this.events = events;
  }

  /** Records an event and returns whether it is to be logged. */
  public synchronized boolean shouldLog() {
    long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
    if (now != currentSecond) {
      if (suppressed > 0) {
        log.warn("{} more {} within one second; their reasons are not logged", suppressed, events);
      }
      currentSecond = now;
      loggedThisSecond = 0;
      suppressed = 0;
    }
    if (loggedThisSecond < maxLinesPerSecond) {
      loggedThisSecond++;
      return true;
    }
    suppressed++;
    return false;
  }
}
