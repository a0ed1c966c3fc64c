/**
 * A Netty server for a protocol of text lines: each line is a message with a kind and {@code
 * name=value} fields, and ends in CR LF. A {@link stonespring.line.LineHandler} interprets the
 * messages. The number and the duration of incomplete handshakes are limited, so that they do not
 * use up file descriptors that known peers need. All state is confined to one event loop.
 */
package stonespring.line;
