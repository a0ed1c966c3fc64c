package stonespring.http;

import stonespring.netty.IncomingMessages;
import stonespring.netty.LogRateLimit;

/**
 * What the connections of a server share.
 *
 * @param messages the messages that peers have begun or sent
 * @param connections the open connections
 * @param closeLog limits the log lines about connections that are closed because of their peers
 */
record HttpServerResources(
    IncomingMessages messages, OpenConnections connections, LogRateLimit closeLog) {}
