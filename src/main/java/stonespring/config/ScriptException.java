package stonespring.config;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/** A script that can't be taken, with every fault found in it. */
public final class ScriptException extends Exception {
  private static final long serialVersionUID = 1;
  private final transient List<Fault> faults;

  public ScriptException(List<Fault> faults) {
    super(
        ordered(faults).stream().map(Fault::toString).collect(Collectors.joining("\n")),
        null,
        false,
        false);
    this.faults = ordered(faults);
  }

  private static List<Fault> ordered(List<Fault> faults) {
    return faults.stream()
        .distinct()
        .sorted(
            Comparator.comparing((Fault f) -> f.place().file())
                .thenComparing(f -> f.place().line())
                .thenComparing(f -> f.place().column()))
        .toList();
  }

  public List<Fault> faults() {
    return faults;
  }
}
