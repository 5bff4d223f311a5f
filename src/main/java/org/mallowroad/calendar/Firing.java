package org.mallowroad.calendar;

import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Instant;

/** The firing of a table's entry at an instant. These three values identify it. */
public record Firing(String table, String entry, Instant instant) {
  private static final BigInteger ID_RANGE = BigInteger.TEN.pow(39);

  Position position() {
    return new Position(instant, entry);
  }

  /**
   * The id of the job that the firing creates, in the protocol's form. The id depends on the firing
   * alone, so every leader that fires it writes the same record. Among 10^12 firings, the
   * probability that any two share an id is below 1 in 10^14. Users must avoid ids of 40 digits
   * that begin with 9, which could collide with these.
   */
  public String jobId() {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      String text = table + '\n' + entry + '\n' + instant.getEpochSecond();
      byte[] digest = sha256.digest(text.getBytes(StandardCharsets.UTF_8));
      return "job-9" + String.format("%039d", new BigInteger(1, digest).mod(ID_RANGE));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // Every Java platform must support SHA-256.
    }
  }
}
