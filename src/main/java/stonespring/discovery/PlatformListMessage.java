package stonespring.discovery;

import java.util.List;
import stonespring.model.EndpointRecord;

/**
 * One message of the platform's endpoint list.
 *
 * @param version the list's version after this message; 0 or more
 * @param snapshot whether the message contains the complete list; otherwise it is a delta
 * @param endpoints the valid entries, and for each invalid entry the record held for its endpoint,
 *     if there is one
 * @param invalidEntryCount the number of invalid entries
 */
record PlatformListMessage(
    long version, boolean snapshot, List<EndpointRecord> endpoints, int invalidEntryCount) {}
