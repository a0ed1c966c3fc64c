/**
 * Endpoint discovery. An {@link stonespring.discovery.EndpointSource} obtains the endpoint list
 * from a file, from a registry by blocking queries, or from the platform's discovery server by a
 * watch. {@link stonespring.discovery.CachedEndpointList} stores a copy on disk for the next start.
 * Each format has its own codec; all other code uses {@link stonespring.model.EndpointRecord}. A
 * registry or platform source whose request fails reports {@link
 * stonespring.model.Event.ListUpdateKind#FETCH_FAILED}; a file source logs a warning. Either keeps
 * its last list.
 */
package stonespring.discovery;
