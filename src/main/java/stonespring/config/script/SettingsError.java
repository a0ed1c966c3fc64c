package stonespring.config.script;

/** One error of a script or of the settings that it holds: where it is, and what is wrong. */
public record SettingsError(SourceLocation location, String message) {
  @Override
  public String toString() {
    return location + ": " + message;
  }
}
