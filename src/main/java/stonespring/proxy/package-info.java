/**
 * A plain proxy: takes requests by HTTP, sends them to endpoints as its routing says ({@link
 * stonespring.proxy.routing}), and keeps a connection to an instance by CHP. Each proxy is confined
 * to one event loop.
 */
package stonespring.proxy;
