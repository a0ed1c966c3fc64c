/**
 * ZMTP 3.0 and 3.1 (RFCs 23 and 37 of the ZeroMQ RFC project) with the NULL mechanism on Netty:
 * greeting and handshake, frames and messages, subscriptions. It knows nothing of what messages
 * mean: a {@link stonespring.zmtp.ZmtpListener} does. A connection's state lives on its event loop.
 */
package stonespring.zmtp;
