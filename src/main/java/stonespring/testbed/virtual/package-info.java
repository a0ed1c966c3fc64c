/**
 * Discrete-event simulation that replays recorded loads in virtual time. The engine host and the
 * routing of the proxies are the production code; endpoints, clients and the network between them
 * are simulated. Each fleet runs on a single thread, and equal input gives equal results.
 */
package stonespring.testbed.virtual;
