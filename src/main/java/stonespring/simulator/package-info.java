/**
 * The simulator's wire: one line of JSON with a batch of events on standard input, one line with
 * the commands on standard output. It hosts many instances that share nothing. The words of the
 * wire stand in {@link stonespring.simulator.WireNames} alone. One thread runs it all.
 */
package stonespring.simulator;
