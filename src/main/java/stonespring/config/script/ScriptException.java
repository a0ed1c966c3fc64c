package stonespring.config.script;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/** Thrown when a script is rejected. The message has one line for each error, in source order. */
public final class ScriptException extends Exception {
  private static final long serialVersionUID = 1;
  private final transient List<SettingsError> errors;

  /**
   * Creates an exception with errors in the order in which they were found; equal ones are reported
   * once.
   */
  public ScriptException(List<SettingsError> errors) {
    super(message(inSourceOrder(errors)), null, false, false);
    this.errors = inSourceOrder(errors);
  }

  private static String message(List<SettingsError> errors) {
    return errors.stream().map(SettingsError::toString).collect(Collectors.joining("\n"));
  }

  private static List<SettingsError> inSourceOrder(List<SettingsError> errors) {
    return errors.stream()
        .distinct()
        .sorted(
            Comparator.comparing((SettingsError error) -> error.location().file())
                .thenComparing(error -> error.location().line())
                .thenComparing(error -> error.location().column()))
        .toList();
  }

  public List<SettingsError> errors() {
    return errors;
  }
}
