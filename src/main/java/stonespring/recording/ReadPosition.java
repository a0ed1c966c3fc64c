package stonespring.recording;

import java.nio.file.Path;

/** The line of a file that is being read, counted from 1; error messages name it. */
final class ReadPosition {
  private final Path file;
  private long line = 1;

  ReadPosition(Path file) {
    this.file = file;
  }

  void advanceLine() {
    line++;
  }

  /** Returns an exception to throw for the current line; does not throw it. */
  InvalidRecordingException error(String problem) {
    return new InvalidRecordingException(file, line, problem);
  }

  /**
   * Checks the content of the current line.
   *
   * @throws InvalidRecordingException with the problem, if the condition is false
   */
  void check(boolean condition, String problem) throws InvalidRecordingException {
    if (!condition) {
      throw error(problem);
    }
  }
}
