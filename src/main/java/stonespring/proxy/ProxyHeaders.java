package stonespring.proxy;

/**
 * Names of the headers and the path of the proxy's HTTP interface, towards clients and endpoints.
 */
public final class ProxyHeaders {
  /** Requests are posted to this path and the request class's name. */
  public static final String REQUEST_PATH_PREFIX = "/op/";

  /** The request's id; an endpoint recognises a repeat by it. */
  public static final String REQUEST_ID = "x-op";

  /** When the client, or the proxy towards an endpoint, gives up: milliseconds. */
  public static final String TIMEOUT_MILLIS = "x-op-timeout-ms";

  /** The proxy that sends an attempt. */
  public static final String PROXY = "x-proxy";

  /** The zone of the proxy that sends an attempt. */
  public static final String ZONE = "x-zone";

  /** Counts the attempts of a request, from 1. */
  public static final String ATTEMPT = "x-try";

  /** In an answer with {@link #FLAG_SET}: it is certain that the request was not executed. */
  public static final String NOT_EXECUTED = "x-not-run";

  /** In an answer: why the request was not served. */
  public static final String REASON = "x-reason";

  /** In an answer: seconds after which the client may try again. */
  public static final String RETRY_AFTER = "retry-after";

  /** The value of a flag that is set. */
  public static final String FLAG_SET = "1";

  private ProxyHeaders() {}
}
