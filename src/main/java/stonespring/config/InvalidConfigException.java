package stonespring.config;

import java.nio.file.Path;

/** The platform's configuration file can't be used; the message is one line that names the file. */
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
