package org.mallowroad.state;

/** HTTP status codes of the state service. */
final class HttpStatus {
  static final int OK = 200;
  static final int BAD_REQUEST = 400;
  static final int NOT_FOUND = 404;
  static final int CONFLICT = 409;
  static final int GONE = 410;
  static final int TOO_MANY_REQUESTS = 429;
  static final int FIRST_SERVER_ERROR = 500;
  static final int UNAVAILABLE = 503;

  private HttpStatus() {}
}
