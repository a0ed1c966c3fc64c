package stonespring.discovery;

import stonespring.http.HttpCallResult;
import stonespring.http.HttpResponse;

/**
 * Signals that the server of an endpoint list could not be reached or did not respond with a list.
 */
final class EndpointListUnavailableException extends Exception {
  private static final long serialVersionUID = 1;

  private EndpointListUnavailableException(String message) {
    super(message, null, false, false);
  }

  /**
   * Returns the response of a completed call.
   *
   * @throws EndpointListUnavailableException if the call failed or the status is not 200
   */
  static HttpResponse requireOk(HttpCallResult result) throws EndpointListUnavailableException {
    if (result instanceof HttpCallResult.Failed failed) {
      throw new EndpointListUnavailableException("the request failed: " + failed.failure());
    }
    HttpResponse response = ((HttpCallResult.Completed) result).response();
    if (response.status() != 200) {
      throw new EndpointListUnavailableException("expected status 200, found " + response.status());
    }
    return response;
  }

  /** Creates an exception for a response that is outdated because a new epoch began meanwhile. */
  static EndpointListUnavailableException versionsRestarted() {
    return new EndpointListUnavailableException(
        "the response is outdated: list versions started over while the request was pending");
  }
}
