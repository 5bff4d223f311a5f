package org.mallowroad.calendar;

import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Instant;

/** A firing: a table, an entry and an instant, and nothing else. */
public record Firing(String table, String entry, Instant instant) {
  private static final BigInteger RANGE = BigInteger.TEN.pow(39);

  Position position() {
    return new Position(instant, entry);
  }

  /**
   * The id of its job, in the protocol's form: it follows from the firing alone, so whoever fires
   * it puts the same record. Of 10^12 firings two share an id with a chance below one in 10^14;
   * users' own ids of 40 digits that begin with 9 are theirs to avoid.
   */
  public String job() {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      String text = table + '\n' + entry + '\n' + instant.getEpochSecond();
      byte[] d = sha.digest(text.getBytes(StandardCharsets.UTF_8));
      return "job-9" + String.format("%039d", new BigInteger(1, d).mod(RANGE));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // Every Java has it.
    }
  }
}
