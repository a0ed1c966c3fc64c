/**
 * The Clustered Hashmap Protocol (RFC 12 of the ZeroMQ RFC project) on ZMTP: snapshots of a subtree
 * of keys, numbered updates, and keys that clients set. It knows nothing of what keys mean: a
 * {@link stonespring.chp.ChpBackend} does. Class names are those of the protocol's commands.
 */
package stonespring.chp;
