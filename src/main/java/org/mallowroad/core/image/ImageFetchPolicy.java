package org.mallowroad.core.image;

/**
 * The operators' limits on image fetches.
 *
 * @param sharedSourceLimit maximum number of machines that fetch from the shared source at once; 0
 *     for no limit
 * @param perMachineLimit maximum number of images that one machine fetches at once; 0 for no limit
 * @param perSourceLimit maximum number of machines that one holder of an image serves at once; 0
 *     when machines do not serve images
 * @param crossZoneLimit maximum number of machines of a zone that fetch an image from other zones
 *     at once while no machine of their own zone holds it
 * @param minimumGb size in GB below which images are neither tracked nor limited
 */
public record ImageFetchPolicy(
    int sharedSourceLimit,
    int perMachineLimit,
    int perSourceLimit,
    int crossZoneLimit,
    double minimumGb) {
  /**
   * The default policy: no limits on fetches, and each holder serves one machine at a time. With
   * equal upload and download rates, this doubles the number of holders in the time of one fetch.
   * Serving two machines at a time would triple it in twice that time, which is slower.
   */
  public static ImageFetchPolicy defaults() {
    return new ImageFetchPolicy(0, 0, 1, 2, 1.0);
  }
}
