/**
 * Where the endpoint list comes from: a file, a registry's blocking queries or the platform's
 * watch, each an {@link stonespring.discovery.EndpointSource}, and the copy on disk that bridges a
 * restart ({@link stonespring.discovery.CachedEndpointList}). Each wire form has one codec; behind
 * the codecs there are only {@link stonespring.model.EndpointRecord}s. A source that fails reports
 * {@link stonespring.model.Event.ListUpdateKind#FETCH_FAILED} and keeps the list it had.
 */
package stonespring.discovery;
