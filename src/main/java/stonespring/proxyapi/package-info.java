/**
 * The API for proxies: the types that both of its protocols share. A protocol passes the messages
 * of proxies to a {@link stonespring.proxyapi.ProxyMessageHandler}; {@link
 * stonespring.proxyapi.ProxyMessageCodec} decodes the messages that are JSON objects. Each protocol
 * is a subpackage.
 */
package stonespring.proxyapi;
