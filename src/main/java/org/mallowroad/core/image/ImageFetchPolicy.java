package org.mallowroad.core.image;

/**
 * The operators' limits on fetches of images.
 *
 * @param sharedSourceLimit most machines that fetch from the shared source at once; 0: no limit
 * @param perMachineLimit most images that one machine fetches at once; 0: no limit
 * @param perSourceLimit most machines that one holder of an image serves at once; 0: machines do
 *     not serve images
 * @param crossZoneLimit most machines of a zone that fetch an image from another zone at once while
 *     no machine of their own zone holds it
 * @param minimumGb smaller images are neither tracked nor limited, in GB
 */
public record ImageFetchPolicy(
    int sharedSourceLimit,
    int perMachineLimit,
    int perSourceLimit,
    int crossZoneLimit,
    double minimumGb) {
  /**
   * No limits on fetches; each holder serves one machine at a time. With equal rates in and out
   * that doubles the holders in the time of one fetch, whereas two at a time only triple them in
   * twice that time.
   */
  public static ImageFetchPolicy defaults() {
    return new ImageFetchPolicy(0, 0, 1, 2, 1.0);
  }
}
