package stonespring.state;

import java.util.List;
import stonespring.model.EndpointId;
import stonespring.model.LoadReport;
import stonespring.model.RequestClassId;

/**
 * What a proxy observed since its last report.
 *
 * @param interval the time that it was counted over, {@link stonespring.model.DeciMillis}
 */
public record ProxyReport(
    long interval, List<EndpointObservation> endpoints, List<RequestCount> requests) {
  /**
   * What a proxy observed at one endpoint.
   *
   * @param attempts attempts that ended
   * @param failures attempts without a successful answer
   * @param successLatency mean duration of the successful ones, {@link
   *     stonespring.model.DeciMillis}
   * @param load the latest load report among the answers
   */
  public record EndpointObservation(
      EndpointId endpoint, long attempts, long failures, long successLatency, LoadReport load) {}

  /**
   * Requests of one class that a proxy received.
   *
   * @param requests all that were received
   * @param unanswered requests that were admitted and never answered
   */
  public record RequestCount(RequestClassId requestClass, long requests, long unanswered) {}
}
