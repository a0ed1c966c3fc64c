/**
 * Messages of text lines on Netty: a kind and {@code name=value} fields, ended by CR LF. It knows
 * nothing of what messages mean: a {@link stonespring.line.LineHandler} does. Connections that have
 * not completed their handshake are few and short-lived, so that they take no descriptor from known
 * peers. All state lives on one event loop.
 */
package stonespring.line;
