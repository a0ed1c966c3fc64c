/**
 * Recorded load of a fleet, which can be replayed with any routing: the requests that arrived, the
 * actual capacity of the endpoints, and what the endpoint list and the load reports stated about
 * them.
 */
package stonespring.recording;
