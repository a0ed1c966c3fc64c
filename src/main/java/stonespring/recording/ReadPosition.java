package stonespring.recording;

import java.nio.file.Path;

/** The line of a file that is being read, for errors. */
final class ReadPosition {
  private final Path file;
  private long line = 1;

  ReadPosition(Path file) {
    this.file = file;
  }

  void advanceLine() {
    line++;
  }

  InvalidRecordingException error(String problem) {
    return new InvalidRecordingException(file, line, problem);
  }

  void check(boolean condition, String problem) throws InvalidRecordingException {
    if (!condition) {
      throw error(problem);
    }
  }
}
