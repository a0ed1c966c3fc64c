package stonespring.solver;

import java.util.List;
import stonespring.model.Command;
import stonespring.model.DecisionEngine;
import stonespring.model.Event;

/**
 * A decision engine combined with a weight advisor. Both receive the same events. After new
 * outcomes the engine also receives the advisor's proposals before it decides; only the engine
 * issues commands.
 */
public final class AdvisedEngine implements DecisionEngine {
  private final DecisionEngine engine;
  private final WeightAdvisor advisor;
  private boolean hasNewOutcomes;

  /** Combines an engine with an advisor. */
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
