package stonespring.config;

import java.util.List;
import java.util.stream.Collectors;

/** A script that can't be taken, with every fault found in it. */
public final class ScriptException extends Exception {
    private static final long serialVersionUID = 1;
    private final transient List<Fault> faults;

    public ScriptException(List<Fault> faults) {
        super(faults.stream().distinct().map(Fault::toString).collect(Collectors.joining("\n")), null, false, false);
        this.faults = faults.stream().distinct().toList();
    }

    public List<Fault> faults() {
        return faults;
    }
}
