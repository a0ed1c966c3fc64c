/**
 * The Clustered Hashmap Protocol (RFC 12 of the ZeroMQ RFC project) on ZMTP: snapshots of a subtree
 * of keys, numbered updates, and keys that clients set. Keys and values are not interpreted here
 * but passed to a {@link stonespring.chp.ChpBackend}. Message classes are named after the commands
 * of the protocol.
 */
package stonespring.chp;
