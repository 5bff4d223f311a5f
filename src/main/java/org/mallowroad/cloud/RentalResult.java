package org.mallowroad.cloud;

import java.util.List;

/** The outcome of a request to rent machines. */
public sealed interface RentalResult {
  /** The cloud rented these machines: as many as were requested, or fewer. */
  record Rented(List<String> machines) implements RentalResult {}

  /** The cloud currently has no capacity for the requested machines. */
  record OutOfCapacity() implements RentalResult {}

  /** The outcome is unknown, or the request was not sent; it may be retried with the same name. */
  record Unknown() implements RentalResult {}
}
