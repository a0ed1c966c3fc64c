/**
 * HTTP/1.1 (RFC 9112) on Netty: complete messages, a client that reuses connections, a server that
 * responds in order, and long-lived streamed responses ({@link stonespring.http.HttpWatch}).
 * Message forms that different implementations could interpret differently are rejected. The state
 * of a connection is confined to its event loop.
 */
package stonespring.http;
