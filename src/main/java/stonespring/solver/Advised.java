package stonespring.solver;

import java.util.List;
import stonespring.model.DecisionModule;
import stonespring.model.Event;
import stonespring.model.Order;

/**
 * A decision module with a solver beside it: both are told the same, and when sums came the
 * solver's proposals are told to the module before it decides. What the module orders is what goes
 * out, always.
 */
public final class Advised implements DecisionModule {
  private final DecisionModule module;
  private final Advisor advisor;
  private boolean sumsCame;

  public Advised(DecisionModule module, Advisor advisor) {
    this.module = module;
    this.advisor = advisor;
  }

  @Override
  public void take(long now, Event event) {
    sumsCame |= event instanceof Event.TaskSums;
    advisor.take(now, event);
    module.take(now, event);
  }

  @Override
  public List<Order> finish(long now) {
    if (sumsCame) {
      sumsCame = false;
      for (Event.Proposed proposed : advisor.propose(now)) {
        module.take(now, proposed);
      }
    }
    List<Order> orders = module.finish(now);
    orders.forEach(advisor::ordered);
    return orders;
  }
}
