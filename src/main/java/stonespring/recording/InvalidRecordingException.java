package stonespring.recording;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Thrown when a file is not a valid recording of the supported version; the message names file,
 * line and field.
 */
public final class InvalidRecordingException extends IOException {
  private static final long serialVersionUID = 1;
  private final transient Path file;
  private final long line;

  InvalidRecordingException(Path file, long line, String problem) {
    super(file + ", line " + line + ": " + problem);
    this.file = file;
    this.line = line;
  }

  public Path file() {
    return file;
  }

  /** Returns the line, counted from 1; 0 if the file cannot be decompressed. */
  public long line() {
    return line;
  }
}
