package stonespring.lab.virtual;

import stonespring.decision.Assigner;
import stonespring.model.DecisionModule;
import stonespring.model.Settings;
import stonespring.solver.Advised;
import stonespring.solver.Advisor;

/** Who decides on a played load. */
public enum Policy {
  /** Every task for every proxy, all alike. */
  EVEN,
  /** The decision module without proposals. */
  MODULE,
  /** The decision module with the weight solver's proposals. */
  SOLVER;

  /** An instance's decisions, and its advisor where it has one. */
  record Made(DecisionModule module, Advisor advisor) {}

  Made make(Settings settings, long seed, long now) {
    if (this == EVEN) {
      return new Made(new EvenTables(), null);
    }
    Assigner module = new Assigner(settings, seed, now);
    Advisor advisor = new Advisor(settings);
    return this == MODULE
        ? new Made(module, null)
        : new Made(new Advised(module, advisor), advisor);
  }
}
