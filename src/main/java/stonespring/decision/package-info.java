/**
 * The assignment engine. It decides which endpoints each proxy uses, with which weights, and which
 * share of the traffic is admitted.
 *
 * <p>{@link stonespring.decision.AssignmentEngine} is the only public type. Each of the other types
 * implements one rule or estimate and declares its constants. No type does I/O, reads a clock or
 * starts a thread, and all types are confined to the thread that calls the engine. Instants and
 * durations are in {@link stonespring.model.DeciMillis}, rates in requests per second.
 *
 * <p>The engine is deterministic: equal events must give equal commands, bit for bit. The order of
 * floating-point additions, of map iteration and of random draws is therefore part of the
 * behaviour. A {@code DoubleStream} sum uses compensated summation, so its result differs from that
 * of a plain loop in the last bits; neither may be replaced by the other.
 */
package stonespring.decision;
