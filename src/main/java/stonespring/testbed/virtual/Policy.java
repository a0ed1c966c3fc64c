package stonespring.testbed.virtual;

import java.util.Optional;
import stonespring.decision.AssignmentEngine;
import stonespring.model.DecisionEngine;
import stonespring.model.Settings;
import stonespring.solver.AdvisedEngine;
import stonespring.solver.WeightAdvisor;

/**
 * The source of routing decisions in a replay. Its lower-case names are used on the command line.
 */
public enum Policy {
  /** Routes of equal weight from every proxy to every ready endpoint. */
  EVEN,
  /** The assignment engine without the weight solver. */
  MODULE,
  /** The assignment engine with weights proposed by the weight solver. */
  SOLVER;

  /**
   * A policy's engine with access to its advisor.
   *
   * @param engine makes the decisions
   * @param advisor runs the weight solver for the engine; empty for policies without a solver
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
