package stonespring.http;

import java.util.Map;
import java.util.regex.Pattern;

/** The first line of a request or response. */
sealed interface StartLine {
  /** The location that is reported in errors of the first line. */
  String LOCATION = "first line";

  /** The method of a request. */
  Pattern METHOD = Pattern.compile("[A-Z]{1,20}");

  /** The status code of a response. */
  Pattern STATUS = Pattern.compile("[1-5][0-9][0-9]");

  /** The supported versions. */
  Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");

  /** Returns whether a message with this first line never has a body, whatever its headers say. */
  boolean excludesBody();

  /** Returns whether the headers must state the length of the body or chunked encoding. */
  boolean requiresLength();

  /** Creates a message from this first line, headers and body. */
  HttpMessage toMessage(Map<String, String> headers, byte[] body);

  /** The first line of a request. */
  record Request(String method, String target) implements StartLine {
    static Request parse(String line) {
      String[] parts = line.split(" ", 3);
      if (parts.length != 3
          || !isSupportedVersion(parts[2])
          || !METHOD.matcher(parts[0]).matches()
          || !parts[1].startsWith("/")) {
        throw new MalformedHttpException(LOCATION, "it is no request of HTTP/1.1");
      }
      return new Request(parts[0], parts[1]);
    }

    @Override
    public boolean excludesBody() {
      return false;
    }

    @Override
    public boolean requiresLength() {
      return false;
    }

    @Override
    public HttpRequest toMessage(Map<String, String> headers, byte[] body) {
      return new HttpRequest(method, target, headers, body);
    }
  }

  /** The first line of a response. */
  record Response(int status, String reason) implements StartLine {
    static Response parse(String line) {
      String[] parts = line.split(" ", 3);
      if (parts.length < 2
          || !isSupportedVersion(parts[0])
          || !STATUS.matcher(parts[1]).matches()) {
        throw new MalformedHttpException(LOCATION, "not a valid HTTP/1.1 status line");
      }
      return new Response(Integer.parseInt(parts[1]), parts.length == 3 ? parts[2] : "");
    }

    @Override
    public boolean excludesBody() {
      return status < 200 || status == 204 || status == 304;
    }

    @Override
    public boolean requiresLength() {
      return !excludesBody();
    }

    @Override
    public HttpResponse toMessage(Map<String, String> headers, byte[] body) {
      return new HttpResponse(status, reason, headers, body);
    }
  }

  private static boolean isSupportedVersion(String word) {
    return VERSION.matcher(word).matches();
  }
}
