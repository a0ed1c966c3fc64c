/**
 * Where a proxy sends a request, whether it admits it, and when it repeats it. The package obeys
 * the tables that it receives; the only decision of its own is to eject an endpoint that keeps
 * failing. It does no I/O, reads no clock and starts no thread: time is passed in, in {@link
 * stonespring.model.DeciMillis}, and random numbers follow from a seed. Nothing here is safe for
 * use by several threads at a time.
 */
package stonespring.proxy.routing;
