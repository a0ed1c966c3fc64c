package stonespring.recording;

import java.nio.file.Path;

/** The current line, counted from 1, in the file that a reader reads; for error messages. */
final class ReadPosition {
  private final Path file;
  private long line = 1;

  ReadPosition(Path file) {
    this.file = file;
  }

  void advanceLine() {
    line++;
  }

  /** Creates, but does not throw, an exception for the current line. */
  InvalidRecordingException error(String problem) {
    return new InvalidRecordingException(file, line, problem);
  }

  /**
   * Checks the content of the current line.
   *
   * @throws InvalidRecordingException with the problem as its message, if the condition is false
   */
  void check(boolean condition, String problem) throws InvalidRecordingException {
    if (!condition) {
      throw error(problem);
    }
  }
}
