/**
 * Hosts instances for the operators' simulator. The simulator writes a batch of events as one line
 * of JSON to standard input and reads one line with the commands from standard output. All
 * instances run on one thread and share no state. {@link stonespring.simulator.WireNames} defines
 * all names of the protocol.
 */
package stonespring.simulator;
