package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: one line for each thing sent, answered or run, with seconds since the start. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  double seconds(long nanos) {
    return (nanos - startNanos) / 1e9;
  }

  synchronized void line(String text) {
    out.printf(Locale.ROOT, "%9.3f %s%n", seconds(System.nanoTime()), text);
    out.flush();
  }

  /** A line that is printed as well. */
  void note(String text) {
    line(text);
    System.out.printf(Locale.ROOT, "%9.3f %s%n", seconds(System.nanoTime()), text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
