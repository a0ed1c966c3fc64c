package stonespring.daemon;

import stonespring.model.DecisionEngine;
import stonespring.model.Settings;

/** Creates decision engines. */
@FunctionalInterface
interface EngineFactory {
  /**
   * Creates an engine without state.
   *
   * @param seed seed of the engine's random number generator
   * @param now current time of the instance, in {@link stonespring.model.DeciMillis}
   */
  DecisionEngine create(Settings settings, long seed, long now);
}
