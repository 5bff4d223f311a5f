package org.mallowroad.core.image;

/**
 * The operators' limits on fetches of images.
 *
 * @param source most machines that fetch from the shared source at once; 0: no limit
 * @param machine most images that a machine fetches at once; 0: no limit
 * @param takers most machines that one machine hands an image on to at once; 0: none does
 * @param across most machines of a zone that take an image from another zone before one of their
 *     own holds it
 * @param leastGb smaller images are not worth a thought
 */
public record ImageFetchPolicy(int source, int machine, int takers, int across, double leastGb) {
  /**
   * No limits; each holder hands on to one taker at a time: at the same rate out as in, that
   * doubles the holders in the time of a fetch, and two takers only triple them in twice that time.
   */
  public static ImageFetchPolicy defaults() {
    return new ImageFetchPolicy(0, 0, 1, 2, 1.0);
  }
}
