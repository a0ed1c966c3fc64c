package stonespring.testbed.virtual;

import stonespring.decision.AssignmentEngine;
import stonespring.model.DecisionEngine;
import stonespring.model.Settings;
import stonespring.solver.AdvisedEngine;
import stonespring.solver.WeightAdvisor;

/** Who decides on a played load. */
public enum Policy {
  /** Every task for every proxy, all alike. */
  EVEN,
  /** The decision module without proposals. */
  MODULE,
  /** The decision module with the weight solver's proposals. */
  SOLVER;

  /** An instance's decisions, and its advisor where it has one. */
  record Made(DecisionEngine module, WeightAdvisor advisor) {}

  Made make(Settings settings, long seed, long now) {
    if (this == EVEN) {
      return new Made(new EvenTables(), null);
    }
    AssignmentEngine module = new AssignmentEngine(settings, seed, now);
    WeightAdvisor advisor = new WeightAdvisor(settings);
    return this == MODULE
        ? new Made(module, null)
        : new Made(new AdvisedEngine(module, advisor), advisor);
  }
}
