/**
 * The recorded load of a day, to be played again with any decisions: requests that arrived, what
 * the endpoints could serve, and what the endpoint list and the load reports said of them.
 */
package stonespring.recording;
