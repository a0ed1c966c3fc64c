package stonespring.config;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Thrown when the platform's configuration file cannot be used. The message is one line that starts
 * with the path of the file.
 */
public final class InvalidConfigException extends Exception {
  private static final long serialVersionUID = 1;
  private final transient Path file;
  private final boolean readFailure;

  InvalidConfigException(Path file, String problem) {
    this(file, problem, false);
  }

  private InvalidConfigException(Path file, String problem, boolean readFailure) {
    super(file + ": " + problem, null, false, false);
    this.file = file;
    this.readFailure = readFailure;
  }

  /** Creates an exception for a file that exists but could not be read. */
  static InvalidConfigException ofReadFailure(Path file, IOException cause) {
    return new InvalidConfigException(file, "cannot read the file: " + cause.getMessage(), true);
  }

  /**
   * Returns whether the file could not be read, for example for lack of file descriptors; a later
   * attempt may succeed although the file has not changed.
   */
  public boolean isReadFailure() {
    return readFailure;
  }

  public Path file() {
    return file;
  }
}
