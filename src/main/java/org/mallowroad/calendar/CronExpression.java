package org.mallowroad.calendar;

import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.util.BitSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/**
 * Minutes, hours, days and months of a crontab(5) line: lists, ranges, steps, names, and the
 * nicknames.
 *
 * <p>The traditional rule of the two day fields: when both are restricted, a day matches by either
 * of them; when one begins with a star, by the other and that one's own steps. Sunday is 0 and 7. A
 * step follows a star or a range. {@code @reboot} is refused: nothing here is started again with a
 * machine.
 */
public final class CronExpression {
  private enum Unit {
    MINUTE("minute", 0, 59, List.of()),
    HOUR("hour", 0, 23, List.of()),
    DAY("day of the month", 1, 31, List.of()),
    MONTH(
        "month",
        1,
        12,
        List.of(
            "jan", "feb", "mar", "apr", "may", "jun", "jul", "aug", "sep", "oct", "nov", "dec")),
    WEEKDAY("day of the week", 0, 7, List.of("sun", "mon", "tue", "wed", "thu", "fri", "sat"));

    private final String text;
    private final int least;
    private final int most;
    private final List<String> names;

    Unit(String text, int least, int most, List<String> names) {
      this.text = text;
      this.least = least;
      this.most = most;
      this.names = names;
    }
  }

  private static final Map<String, String> NICKNAMES =
      Map.of(
          "@yearly", "0 0 1 1 *",
          "@annually", "0 0 1 1 *",
          "@monthly", "0 0 1 * *",
          "@weekly", "0 0 * * 0",
          "@daily", "0 0 * * *",
          "@midnight", "0 0 * * *",
          "@hourly", "0 * * * *");

  private static final int MOST_CHARACTERS = 500;

  private final String text;
  private final BitSet minutes;
  private final BitSet hours;
  private final BitSet days;
  private final BitSet months;
  private final BitSet weekdays;
  private final boolean anyHour;
  private final boolean eitherDay;

  private CronExpression(String text, CronParser.FieldsContext f)
      throws InvalidCronExpressionException {
    this.text = text;
    minutes = bits(f.field(0), Unit.MINUTE);
    hours = bits(f.field(1), Unit.HOUR);
    days = bits(f.field(2), Unit.DAY);
    months = bits(f.field(3), Unit.MONTH);
    weekdays = bits(f.field(4), Unit.WEEKDAY);
    if (weekdays.get(7)) {
      weekdays.set(0);
    }
    anyHour = star(f.field(1));
    eitherDay = !star(f.field(2)) && !star(f.field(4));
  }

  /** Reads an expression. */
  public static CronExpression parse(String text) throws InvalidCronExpressionException {
    if (text.length() > MOST_CHARACTERS) {
      throw new InvalidCronExpressionException(
          MOST_CHARACTERS + 1, "at most " + MOST_CHARACTERS + " characters");
    }
    CronParser.ExpressionContext e = tree(text);
    if (e.fields() != null) {
      return new CronExpression(text, e.fields());
    }
    Token nick = e.nickname().getStart();
    String fields = NICKNAMES.get(nick.getText().toLowerCase(Locale.ROOT));
    if (fields == null) {
      throw new InvalidCronExpressionException(
          nick.getCharPositionInLine() + 1,
          nick.getText().equalsIgnoreCase("@reboot")
              ? "@reboot has no time of its own and is not supported"
              : "expected @yearly, @annually, @monthly, @weekly, @daily, @midnight or @hourly");
    }
    return new CronExpression(text, tree(fields).fields());
  }

  /** The first error ends the reading; what the library would say of it is kept short. */
  private static final class FirstError extends BaseErrorListener {
    private InvalidCronExpressionException error;

    @Override
    public void syntaxError(
        Recognizer<?, ?> by, Object at, int line, int column, String says, RecognitionException e) {
      if (error == null) {
        String found =
            at instanceof Token t && t.getType() != Token.EOF
                ? "\"" + t.getText() + "\""
                : "the end";
        error =
            new InvalidCronExpressionException(
                column + 1, "found " + found + ", expected " + expected(by, e));
      }
    }

    private static String expected(Recognizer<?, ?> by, RecognitionException e) {
      if (!(by instanceof CronParser p)) {
        return "a cron expression";
      }
      String tokens =
          (e == null ? p.getExpectedTokens() : e.getExpectedTokens())
              .toString(CronParser.VOCABULARY);
      return tokens
          .replace("BLANK", "a blank and the next field")
          .replace("NUMBER", "a number")
          .replace("NAME", "a name")
          .replace("NICKNAME", "@daily or its kin")
          .replace("<EOF>", "the end")
          .replace("{", "one of ")
          .replace("}", "");
    }
  }

  private static CronParser.ExpressionContext tree(String text)
      throws InvalidCronExpressionException {
    FirstError errors = new FirstError();
    CronLexer lexer = new CronLexer(CharStreams.fromString(text));
    lexer.removeErrorListeners();
    lexer.addErrorListener(errors);
    CronParser parser = new CronParser(new CommonTokenStream(lexer));
    parser.removeErrorListeners();
    parser.addErrorListener(errors);
    CronParser.ExpressionContext e = parser.expression();
    if (errors.error != null) {
      throw errors.error;
    }
    return e;
  }

  private static boolean star(CronParser.FieldContext f) {
    return f.getStart().getType() == CronParser.STAR;
  }

  private static BitSet bits(CronParser.FieldContext field, Unit unit)
      throws InvalidCronExpressionException {
    BitSet out = new BitSet();
    for (CronParser.ItemContext i : field.item()) {
      int low = unit.least;
      int high = unit == Unit.WEEKDAY ? 6 : unit.most;
      CronParser.RangeContext r = i.range();
      if (r != null) {
        low = value(r.low, unit);
        high = r.high == null ? low : value(r.high, unit);
        if (high < low) {
          throw bad(r.getStart(), "a range runs upwards, not from " + low + " to " + high);
        }
        if (i.step != null && r.high == null) {
          throw bad(i.step, "a step follows a star or a range");
        }
      }
      int step = i.step == null ? 1 : number(i.step, "step", 1, unit.most);
      for (int v = low; v <= high; v += step) {
        out.set(v);
      }
    }
    return out;
  }

  private static int value(CronParser.ValueContext v, Unit unit)
      throws InvalidCronExpressionException {
    Token t = v.getStart();
    if (t.getType() == CronParser.NUMBER) {
      return number(t, unit.text, unit.least, unit.most);
    }
    int at = unit.names.indexOf(t.getText().toLowerCase(Locale.ROOT));
    if (at < 0) {
      throw bad(
          t,
          unit.names.isEmpty()
              ? "the " + unit.text + " is a number from " + unit.least + " to " + unit.most
              : "expected one of " + String.join(", ", unit.names));
    }
    return at + (unit == Unit.MONTH ? 1 : 0);
  }

  private static int number(Token t, String what, int least, int most)
      throws InvalidCronExpressionException {
    int n = t.getText().length() > 4 ? Integer.MAX_VALUE : Integer.parseInt(t.getText());
    if (n < least || n > most) {
      throw bad(t, "the " + what + " is a number from " + least + " to " + most);
    }
    return n;
  }

  private static InvalidCronExpressionException bad(Token at, String reason) {
    return new InvalidCronExpressionException(at.getCharPositionInLine() + 1, reason);
  }

  /** True when the hour field begins with a star: it means "every so often", not a time of day. */
  public boolean anyHour() {
    return anyHour;
  }

  /** True when the expression has the month. */
  boolean hasMonth(int month) {
    return months.get(month);
  }

  /** True when the expression has the day, whatever the time. */
  boolean has(LocalDate day) {
    if (!months.get(day.getMonthValue())) {
      return false;
    }
    boolean byDay = days.get(day.getDayOfMonth());
    boolean byWeekday = weekdays.get(day.getDayOfWeek().getValue() % 7);
    return eitherDay ? byDay || byWeekday : byDay && byWeekday;
  }

  /** The first time of a day that is not before this one, or null. */
  LocalTime from(LocalTime t) {
    int minute = t.getSecond() > 0 || t.getNano() > 0 ? t.getMinute() + 1 : t.getMinute();
    int m = minutes.nextSetBit(minute);
    if (hours.get(t.getHour()) && m >= 0) {
      return LocalTime.of(t.getHour(), m);
    }
    int h = hours.nextSetBit(t.getHour() + 1);
    return h < 0 ? null : LocalTime.of(h, minutes.nextSetBit(0));
  }

  /** The last time of a day that is before this one, or null. */
  LocalTime before(LocalTime t) {
    int minute = t.getSecond() > 0 || t.getNano() > 0 ? t.getMinute() : t.getMinute() - 1;
    int m = minute < 0 ? -1 : minutes.previousSetBit(minute);
    if (hours.get(t.getHour()) && m >= 0) {
      return LocalTime.of(t.getHour(), m);
    }
    int h = t.getHour() == 0 ? -1 : hours.previousSetBit(t.getHour() - 1);
    return h < 0 ? null : LocalTime.of(h, minutes.length() - 1);
  }

  /** The last time of a day. */
  LocalTime last() {
    return LocalTime.of(hours.length() - 1, minutes.length() - 1);
  }

  /** True when the expression has this minute of the wall clock. */
  public boolean has(LocalDateTime at) {
    return has(at.toLocalDate()) && minutes.get(at.getMinute()) && hours.get(at.getHour());
  }

  @Override
  public String toString() {
    return text;
  }
}
