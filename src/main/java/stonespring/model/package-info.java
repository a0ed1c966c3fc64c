/**
 * The interface of the decisions: what an engine is notified of ({@link stonespring.model.Event}),
 * what it commands ({@link stonespring.model.Command}) and what it is configured with ({@link
 * stonespring.model.Settings}). All of these types are immutable. {@link
 * stonespring.model.DeterministicRandom} is the one random sequence of engine and proxies.
 */
package stonespring.model;
