package stonespring.recording;

import java.io.IOException;
import java.nio.file.Path;

/** A file is no recording of this version; the message names file, line and field. */
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

  /** The line, counted from 1; 0 where the file can't be unpacked. */
  public long line() {
    return line;
  }
}
