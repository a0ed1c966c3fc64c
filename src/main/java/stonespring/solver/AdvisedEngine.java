package stonespring.solver;

import java.util.List;
import stonespring.model.Command;
import stonespring.model.DecisionEngine;
import stonespring.model.Event;

/**
 * A decision engine with an advisor beside it: both are notified of the same events, and after
 * reports the engine is given the advisor's proposals before it decides. The engine alone commands.
 */
public final class AdvisedEngine implements DecisionEngine {
  private final DecisionEngine engine;
  private final WeightAdvisor advisor;
  private boolean hasNewOutcomes;

  /** Puts an advisor beside an engine. */
  public AdvisedEngine(DecisionEngine engine, WeightAdvisor advisor) {
    this.engine = engine;
    this.advisor = advisor;
  }

  @Override
  public void handle(long now, Event event) {
    hasNewOutcomes |= event instanceof Event.EndpointOutcomes;
    advisor.handle(now, event);
    engine.handle(now, event);
  }

  @Override
  public List<Command> endBatch(long now) {
    if (hasNewOutcomes) {
      hasNewOutcomes = false;
      for (Event.WeightsProposed proposal : advisor.proposeWeights(now)) {
        engine.handle(now, proposal);
      }
    }
    List<Command> commands = engine.endBatch(now);
    commands.forEach(advisor::handleCommand);
    return commands;
  }
}
