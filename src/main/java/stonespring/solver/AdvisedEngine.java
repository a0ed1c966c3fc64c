package stonespring.solver;

import java.util.List;
import stonespring.model.Command;
import stonespring.model.DecisionEngine;
import stonespring.model.Event;

/**
 * A decision module with a solver beside it: both are told the same, and when sums came the
 * solver's proposals are told to the module before it decides. What the module orders is what goes
 * out, always.
 */
public final class AdvisedEngine implements DecisionEngine {
  private final DecisionEngine module;
  private final WeightAdvisor advisor;
  private boolean sumsCame;

  public AdvisedEngine(DecisionEngine module, WeightAdvisor advisor) {
    this.module = module;
    this.advisor = advisor;
  }

  @Override
  public void handle(long now, Event event) {
    sumsCame |= event instanceof Event.EndpointOutcomes;
    advisor.take(now, event);
    module.handle(now, event);
  }

  @Override
  public List<Command> endBatch(long now) {
    if (sumsCame) {
      sumsCame = false;
      for (Event.WeightsProposed proposed : advisor.propose(now)) {
        module.handle(now, proposed);
      }
    }
    List<Command> orders = module.endBatch(now);
    orders.forEach(advisor::ordered);
    return orders;
  }
}
