/**
 * The interface between a decision engine and its host: the events that the engine receives ({@link
 * stonespring.model.Event}), the commands that it returns ({@link stonespring.model.Command}) and
 * its settings ({@link stonespring.model.Settings}). All of these types are immutable. {@link
 * stonespring.model.DeterministicRandom} is the only source of random numbers for the engine and
 * the routing of proxies.
 */
package stonespring.model;
