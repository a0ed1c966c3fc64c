package stonespring.config.script;

/** An error of a script or of the settings in it: its location and a description. */
public record SettingsError(SourceLocation location, String message) {
  @Override
  public String toString() {
    return location + ": " + message;
  }
}
