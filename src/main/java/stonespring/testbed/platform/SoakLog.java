package stonespring.testbed.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The events and violations of a run, with the time since its start. Thread-safe. */
final class SoakLog {
  private static final int MAX_VIOLATIONS = 20;

  private final long startedNanos = System.nanoTime();
  private final List<String> events = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();

  private String stamp(String text) {
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    return String.format("%.3f s  %s", millis / 1000.0, text);
  }

  synchronized void addEvent(String text) {
    events.add(stamp(text));
  }

  synchronized void addViolation(String text) {
    events.add(stamp("VIOLATION " + text));
    if (violations.size() < MAX_VIOLATIONS) {
      violations.add(stamp(text));
    }
  }

  synchronized List<String> events() {
    return List.copyOf(events);
  }

  synchronized List<String> violations() {
    return List.copyOf(violations);
  }
}
