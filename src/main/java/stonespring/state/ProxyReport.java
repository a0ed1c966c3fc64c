package stonespring.state;

import java.util.List;
import stonespring.model.EndpointId;
import stonespring.model.LoadReport;
import stonespring.model.RequestClassId;

/**
 * The observations of a proxy since its previous report.
 *
 * @param interval duration over which the observations were counted, {@link
 *     stonespring.model.DeciMillis}
 */
public record ProxyReport(
    long interval, List<EndpointObservation> endpoints, List<RequestCount> requests) {
  /**
   * The outcomes of attempts of a proxy at one endpoint.
   *
   * @param attempts number of attempts that ended
   * @param failures number of attempts that ended without a successful response
   * @param successLatency mean duration of successful attempts, {@link
   *     stonespring.model.DeciMillis}
   * @param load the latest load report received with a response
   */
  public record EndpointObservation(
      EndpointId endpoint, long attempts, long failures, long successLatency, LoadReport load) {}

  /**
   * The number of requests of one class that a proxy received.
   *
   * @param requests number of requests received
   * @param unanswered number of requests that were admitted but never answered
   */
  public record RequestCount(RequestClassId requestClass, long requests, long unanswered) {}
}
