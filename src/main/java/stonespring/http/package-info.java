/**
 * HTTP/1.1 (RFC 9112) on Netty: whole messages, a client with kept connections, a server that
 * responds in order, and responses that stay open ({@link stonespring.http.HttpWatch}). Forms of
 * messages that two readers could understand differently are refused. The state of a connection
 * lives on its event loop.
 */
package stonespring.http;
