package stonespring.proxy;

/**
 * Header names and the request path of the proxy's HTTP interface towards clients and endpoints.
 */
public final class ProxyHeaders {
  /** Path prefix of requests; the request class's name follows it. */
  public static final String REQUEST_PATH_PREFIX = "/op/";

  /** The request's id, by which an endpoint recognises a repeated request. */
  public static final String REQUEST_ID = "x-op";

  /**
   * Timeout of a request, set by the client, or of an attempt, set by the proxy; in milliseconds.
   */
  public static final String TIMEOUT_MILLIS = "x-op-timeout-ms";

  /** Name of the proxy that sends an attempt. */
  public static final String PROXY = "x-proxy";

  /** Zone of the proxy that sends an attempt. */
  public static final String ZONE = "x-zone";

  /** Number of the attempt within its request, counted from 1. */
  public static final String ATTEMPT = "x-try";

  /**
   * Answer header that, with the value {@link #FLAG_SET}, guarantees that the request was not
   * executed.
   */
  public static final String NOT_EXECUTED = "x-not-run";

  /** Answer header with the reason why the request was not served. */
  public static final String REASON = "x-reason";

  /** Answer header with the number of seconds after which the client may retry. */
  public static final String RETRY_AFTER = "retry-after";

  /** Value of a flag header that is set. */
  public static final String FLAG_SET = "1";

  private ProxyHeaders() {}
}
