package stonespring.state;

import stonespring.model.AckId;

/**
 * A proxy's notice that it applied the update that requested this acknowledgement.
 *
 * @param sessionId the session that the update belongs to, as {@link PublishedState#sessionId}
 *     names it
 * @param duration from the update's arrival to its effect, {@link stonespring.model.DeciMillis}
 */
public record ProxyAcknowledgement(String sessionId, AckId ack, long duration) {}
