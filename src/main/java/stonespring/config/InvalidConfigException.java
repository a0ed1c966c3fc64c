package stonespring.config;

import java.nio.file.Path;

/**
 * Thrown when the platform's configuration file cannot be used. The message is one line that starts
 * with the path of the file.
 */
public final class InvalidConfigException extends Exception {
  private static final long serialVersionUID = 1;
  private final transient Path file;

  InvalidConfigException(Path file, String problem) {
    super(file + ": " + problem, null, false, false);
    this.file = file;
  }

  public Path file() {
    return file;
  }
}
