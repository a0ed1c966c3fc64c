package stonespring.daemon;

import stonespring.model.DecisionEngine;
import stonespring.model.Settings;

/** Creates decision engines. */
@FunctionalInterface
interface EngineFactory {
  /**
   * Creates an engine without state.
   *
   * @param seed for its random draws
   * @param now the host's clock, {@link stonespring.model.DeciMillis}
   */
  DecisionEngine create(Settings settings, long seed, long now);
}
