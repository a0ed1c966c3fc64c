package stonespring.discovery;

import java.util.List;
import stonespring.model.EndpointRecord;

/**
 * One message of the platform's endpoint list.
 *
 * @param version the list's version after this message; 0 or more
 * @param snapshot whether this is the whole list, otherwise the entries that changed
 * @param endpoints the entries; in place of an invalid one the record held of that endpoint, if any
 * @param invalidEntryCount how many entries were invalid
 */
record PlatformListMessage(
    long version, boolean snapshot, List<EndpointRecord> endpoints, int invalidEntryCount) {}
