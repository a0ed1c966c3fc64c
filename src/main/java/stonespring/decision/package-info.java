/**
 * The assignment engine: which endpoints each proxy uses, with which weights, and how much of the
 * traffic is admitted.
 *
 * <p>{@link stonespring.decision.AssignmentEngine} is the only public type. Each of the others
 * holds one rule or estimate, with its constants. Nothing here does I/O, reads a clock or starts a
 * thread, and all types are confined to the thread that calls the engine. Instants and durations
 * are in {@link stonespring.model.DeciMillis}, rates in requests per second.
 *
 * <p>Equal events must give equal commands, bit for bit. The order of floating-point sums, of map
 * iteration and of random draws is therefore part of the behaviour; streams that sum do so with
 * compensation and differ from a plain loop in the last bits.
 */
package stonespring.decision;
