package org.mallowroad.cloud;

import java.util.List;

/** The outcome of a request to rent machines. */
public sealed interface RentalResult {
  /** The cloud rented these machines: as many as were requested, or fewer. */
  record Rented(List<String> machines) implements RentalResult {}

  /** The cloud has no capacity of this kind now. */
  record OutOfCapacity() implements RentalResult {}

  /**
   * The outcome is not known, or the request was not sent; it may be repeated under the same name.
   */
  record Unknown() implements RentalResult {}
}
