package stonespring.proxy.routing;

/**
 * The progress of a request at the time when a retry is considered. Instants are in {@link
 * stonespring.model.DeciMillis}.
 *
 * @param attempts attempts made so far
 * @param provenNotExecuted whether it is certain that none of them was executed
 * @param firstAttemptAt when the first attempt that may have been executed was sent
 * @param deadline when the request times out
 */
public record RequestProgress(
    int attempts, boolean provenNotExecuted, long firstAttemptAt, long deadline) {}
