package stonespring.state;

import stonespring.model.AckId;

/**
 * An acknowledgement by a proxy: it applied the update that requested it.
 *
 * @param sessionId the session in which the update was published, see {@link
 *     PublishedState#sessionId}
 * @param duration time from the arrival of the update at the proxy to its effect, {@link
 *     stonespring.model.DeciMillis}
 */
public record ProxyAcknowledgement(String sessionId, AckId ack, long duration) {}
