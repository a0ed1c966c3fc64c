/**
 * ZMTP 3.0 and 3.1 (RFCs 23 and 37 of the ZeroMQ RFC project) with the NULL mechanism on Netty:
 * greeting and handshake, frames and messages, subscriptions. Messages are not interpreted here but
 * passed to a {@link stonespring.zmtp.ZmtpListener}. The state of a connection is confined to its
 * event loop.
 */
package stonespring.zmtp;
