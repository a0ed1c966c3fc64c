package stonespring.http;

import stonespring.netty.IncomingMessages;

/**
 * What the connections of a server share.
 *
 * @param messages the messages that peers have begun or sent
 * @param connections the open connections
 */
record HttpServerResources(IncomingMessages messages, OpenConnections connections) {}
