package stonespring.config;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/** A script that can't be taken, with every fault found in it. */
public final class ScriptException extends Exception {
  private static final long serialVersionUID = 1;
  private final transient List<SettingsError> faults;

  public ScriptException(List<SettingsError> faults) {
    super(
        ordered(faults).stream().map(SettingsError::toString).collect(Collectors.joining("\n")),
        null,
        false,
        false);
    this.faults = ordered(faults);
  }

  private static List<SettingsError> ordered(List<SettingsError> faults) {
    return faults.stream()
        .distinct()
        .sorted(
            Comparator.comparing((SettingsError f) -> f.place().file())
                .thenComparing(f -> f.place().line())
                .thenComparing(f -> f.place().column()))
        .toList();
  }

  public List<SettingsError> faults() {
    return faults;
  }
}
