package stonespring.netty;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Guards against logs that grow with each message of a peer that sends at full speed. */
final class LogRateLimitTest {
  @Test
  void permitsTheGivenNumberOfLinesPerSecond() {
    LogRateLimit limit = new LogRateLimit(LoggerFactory.getLogger("test"), 3, "test events");
    long startedNanos = System.nanoTime();
    int logged = 0;
    for (int i = 0; i < 100_000; i++) {
      logged += limit.shouldLog() ? 1 : 0;
    }
    long begunSeconds = 2 + (System.nanoTime() - startedNanos) / 1_000_000_000;
    assertTrue(logged >= 3 && logged <= 3 * begunSeconds, logged + " lines");
  }
}
