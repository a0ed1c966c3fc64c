package stonespring.testbed.virtual;

import java.util.Optional;
import stonespring.decision.AssignmentEngine;
import stonespring.model.DecisionEngine;
import stonespring.model.Settings;
import stonespring.solver.AdvisedEngine;
import stonespring.solver.WeightAdvisor;

/** Who decides while a load is played. The names are those of the command line. */
public enum Policy {
  /** Routes of equal weight from every proxy to every endpoint. */
  EVEN,
  /** The assignment engine without the weight solver. */
  MODULE,
  /** The assignment engine with the weights that the solver proposes. */
  SOLVER;

  /**
   * The engine of a policy.
   *
   * @param engine the engine
   * @param advisor the weight solver's part of it; empty for policies without one
   */
  record PolicyEngine(DecisionEngine engine, Optional<WeightAdvisor> advisor) {}

  /**
   * Creates the engine of this policy.
   *
   * @param now the present instant, in {@link stonespring.model.DeciMillis}
   */
  PolicyEngine createEngine(Settings settings, long seed, long now) {
    if (this == EVEN) {
      return new PolicyEngine(new EqualWeightEngine(), Optional.empty());
    }
    AssignmentEngine engine = new AssignmentEngine(settings, seed, now);
    if (this == MODULE) {
      return new PolicyEngine(engine, Optional.empty());
    }
    WeightAdvisor advisor = new WeightAdvisor(settings);
    return new PolicyEngine(new AdvisedEngine(engine, advisor), Optional.of(advisor));
  }
}
