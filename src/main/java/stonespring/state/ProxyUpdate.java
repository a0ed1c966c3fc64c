package stonespring.state;

import java.util.List;
import java.util.Optional;
import stonespring.model.AckId;
import stonespring.model.ProxyId;

/**
 * The changes that the commands of one event batch cause for one proxy. They take effect together
 * or not at all.
 *
 * @param changes the changes in the order of their publication, one for each subject
 * @param entries cost of the update in entries of the channel, without the overhead of the message
 * @param ack the requested acknowledgement, if any
 * @param commandedAt when the decision engine returned the commands, {@link
 *     stonespring.model.DeciMillis}
 */
public record ProxyUpdate(
    ProxyId proxy, List<ProxyChange> changes, int entries, Optional<AckId> ack, long commandedAt) {}
