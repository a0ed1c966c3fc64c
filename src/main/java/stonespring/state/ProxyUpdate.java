package stonespring.state;

import java.util.List;
import java.util.Optional;
import stonespring.model.AckId;
import stonespring.model.ProxyId;

/**
 * What one event batch changes for one proxy. The changes take effect together or not at all.
 *
 * @param changes in the order in which they are published, one for each subject
 * @param entries what the channel charges for it, the overhead of the message not counted
 * @param ack the acknowledgement that is requested, if any
 * @param commandedAt when the decisions commanded it, {@link stonespring.model.DeciMillis}
 */
public record ProxyUpdate(
    ProxyId proxy, List<ProxyChange> changes, int entries, Optional<AckId> ack, long commandedAt) {}
