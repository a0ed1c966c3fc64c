package stonespring.discovery;

import stonespring.http.HttpClient;

/** The server of an endpoint list could not be reached or did not respond with a list. */
final class EndpointListUnavailableException extends Exception {
  private static final long serialVersionUID = 1;

  private EndpointListUnavailableException(String message) {
    super(message, null, false, false);
  }

  static EndpointListUnavailableException callFailed(HttpClient.Failure failure) {
    return new EndpointListUnavailableException("the request failed: " + failure);
  }

  static EndpointListUnavailableException unexpectedStatus(int status) {
    return new EndpointListUnavailableException("unexpected status " + status);
  }

  static EndpointListUnavailableException superseded() {
    return new EndpointListUnavailableException(
        "the list's versions started over while the request was under way");
  }
}
