/**
 * Decides where a proxy sends a request, whether it admits the request, and when it retries it.
 * These decisions follow the received tables; the only decision made locally is to eject an
 * endpoint that keeps failing. The package does no I/O, reads no clock and starts no thread: time
 * is passed in, in {@link stonespring.model.DeciMillis}, and random numbers are generated from a
 * seed. No class here is thread-safe.
 */
package stonespring.proxy.routing;
