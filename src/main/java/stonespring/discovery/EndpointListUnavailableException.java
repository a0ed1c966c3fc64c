package stonespring.discovery;

import stonespring.http.HttpCallResult;
import stonespring.http.HttpResponse;

/** The server of an endpoint list could not be reached or did not respond with a list. */
final class EndpointListUnavailableException extends Exception {
  private static final long serialVersionUID = 1;

  private EndpointListUnavailableException(String message) {
    super(message, null, false, false);
  }

  /**
   * The response of a call that succeeded.
   *
   * @throws EndpointListUnavailableException if the call failed, or its status is not 200
   */
  static HttpResponse requireOk(HttpCallResult result) throws EndpointListUnavailableException {
    if (result instanceof HttpCallResult.Failed failed) {
      throw new EndpointListUnavailableException("the request failed: " + failed.failure());
    }
    HttpResponse response = ((HttpCallResult.Completed) result).response();
    if (response.status() != 200) {
      throw new EndpointListUnavailableException("unexpected status " + response.status());
    }
    return response;
  }

  static EndpointListUnavailableException versionsRestarted() {
    return new EndpointListUnavailableException(
        "the list's versions started over while the request was under way");
  }
}
