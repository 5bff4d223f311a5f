package org.mallowroad.calendar.file;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.mallowroad.wire.Json;

/**
 * A cron table file is either accepted whole or rejected with the file, the line and the reason.
 */
final class CronTableFileTest {
  @TempDir Path dir;

  @Test
  void exampleTableIsRead() throws Exception {
    CronTableFile.Content content = CronTableFile.read(Path.of("docs/examples/clubs.xml"));
    assertEquals("clubs", content.table().name());
    assertEquals(
        List.of("ratings", "release", "archive"),
        content.table().entries().stream().map(entry -> entry.name()).toList());
    assertEquals(Set.of(), content.neverFiring());
    // The club is closed for three days from Thursday 18 February 2027: the run moves to Sunday.
    assertEquals(
        Optional.of(Instant.parse("2027-02-21T07:30:00Z")),
        content.table().entries().get(0).schedule().next(Instant.parse("2027-02-17T00:00:00Z")));
    // The park opens on Saturday 13 March.
    assertEquals(
        Optional.of(Instant.parse("2027-03-13T13:00:00Z")),
        content.table().entries().get(1).schedule().next(Instant.parse("2027-01-01T00:00:00Z")));
    assertEquals(
        "{\"cards\":0.0,\"docket\":\"waitlist-match\"}",
        Json.toText(content.jobTemplates().get("release").deepCopy().retain("cards", "docket")));
  }

  private static final String VALID =
      """
      <cron xmlns="https://mallowroad.org/cron/1" name="t" zone="UTC">
        <calendar name="c"><yearly day="--12-25"/></calendar>
        <calendar name="d" base="c"><weekly day="monday"/></calendar>
        <entry name="e" at="@daily" calendar="d">
          <job docket="c" crew="t" form="sweep" rank="idle" moves="1" cpus="1" mem_gb="1" kit="k"
               size_gb="1" reckon_s="1"/>
        </entry>
      </cron>
      """;

  @Test
  void invalidTablesAreRejectedWithFileLineAndReason() throws Exception {
    String[][] cases = {
      {"zone=\"UTC\"", "zone=\"Mars\"", "line 1: zone: Mars: no such time zone"},
      {"name=\"t\"", "name=\"a b\"", "line 1: Value 'a b' is not facet-valid"},
      {"--12-25", "--02-30", "line 2: '--02-30' is not a valid value"},
      {"--12-25", "--12-25Z", "line 2: yearly: a day without a time zone is needed"},
      {"base=\"c\"", "base=\"x\"", "line 3: base: x: no calendar of this name is defined before"},
      {"monday", "moonday", "line 3: Value 'moonday' is not facet-valid"},
      {"@daily", "0 0 30 * * *", "line 4: at: column 12: found"},
      {"calendar=\"d\"", "calendar=\"x\"", "line 4: calendar: x: no calendar of this name"},
      {"calendar=\"d\"", "missed=\"some\"", "line 4: Value 'some' is not facet-valid"},
      {"name=\"e\"", "name=\"c\"", "line 4: Duplicate unique value [c]"},
      {"rank=\"idle\"", "rank=\"first\"", "line 6: job: rank: unknown value"},
      {"moves=\"1\"", "moves=\"0\"", "line 6: job: moves: an integer from 1"},
      {"cpus=\"1\"", "cpus=\"-1\"", "line 6: Value '-1' is not facet-valid"},
      {"cpus=\"1\" ", "", "line 6: Attribute 'cpus' must appear on element 'job'"},
      {"</cron>", "", "must start and end within the same entity"},
      {"<cron ", "<!DOCTYPE cron [<!ENTITY x SYSTEM 'file:///etc/hostname'>]><cron ", "DOCTYPE"},
      {
        "<yearly day=\"--12-25\"/>",
        "<events file=\"none.ics\"/>",
        "line 2: none.ics cannot be read"
      },
      {
        "<yearly day=\"--12-25\"/>",
        "<events file=\"bad.ics\"/>",
        "line 2: bad.ics: line 1: not iCalendar"
      },
    };
    Files.writeString(dir.resolve("bad.ics"), "nothing of the kind");
    Path file = dir.resolve("t.xml");
    for (String[] testCase : cases) {
      assertTrue(VALID.contains(testCase[0]), testCase[0]);
      Files.writeString(
          file, VALID.replaceFirst(java.util.regex.Pattern.quote(testCase[0]), testCase[1]));
      InvalidCronTableException exception =
          assertThrows(
              InvalidCronTableException.class, () -> CronTableFile.read(file), testCase[1]);
      assertTrue(
          exception.getMessage().startsWith(file + ": ")
              && exception.getMessage().contains(testCase[2]),
          exception.getMessage());
      assertTrue(
          !exception.getMessage().contains("\n") && !exception.getMessage().contains("cvc-"),
          exception.getMessage());
    }
    Files.writeString(file, VALID.replace("@daily", "0 0 30 2 *"));
    assertEquals(Set.of("e"), CronTableFile.read(file).neverFiring());
    Files.writeString(file, VALID);
    assertEquals(Set.of(), CronTableFile.read(file).neverFiring());
    assertThrows(
        InvalidCronTableException.class, () -> CronTableFile.read(dir.resolve("none.xml")));
  }
}
