/**
 * A day's load as it came, to be played again: arrivals, what tasks really could do, what was
 * listed and told of them.
 */
package stonespring.recording;
