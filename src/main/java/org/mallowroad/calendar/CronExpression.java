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
 * A cron expression with the five time fields of crontab(5), in which lists, ranges, steps and
 * names are allowed, or a nickname such as {@code @daily}.
 *
 * <p>The two day fields follow the traditional rule: if neither begins with a star, a day matches
 * if either field does; if one begins with a star, a day must match both, including the star's
 * step. Sunday is 0 or 7. A step may only follow a star or a range. {@code @reboot} is rejected,
 * because no event of the service corresponds to the start of a machine.
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

    private final String label;
    private final int min;
    private final int max;
    private final List<String> names;

    Unit(String text, int least, int most, List<String> names) {
      this.label = text;
      this.min = least;
      this.max = most;
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

  private static final int MAX_CHARACTERS = 500;

  private final String text;
  private final BitSet minutes;
  private final BitSet hours;
  private final BitSet days;
  private final BitSet months;
  private final BitSet weekdays;
  private final boolean hasStarHour;
  private final boolean matchesEitherDayField;

  private CronExpression(String text, CronParser.FieldsContext fieldsContext)
      throws InvalidCronExpressionException {
    this.text = text;
    minutes = parseField(fieldsContext.field(0), Unit.MINUTE);
    hours = parseField(fieldsContext.field(1), Unit.HOUR);
    days = parseField(fieldsContext.field(2), Unit.DAY);
    months = parseField(fieldsContext.field(3), Unit.MONTH);
    weekdays = parseField(fieldsContext.field(4), Unit.WEEKDAY);
    if (weekdays.get(7)) {
      weekdays.set(0);
    }
    hasStarHour = startsWithStar(fieldsContext.field(1));
    matchesEitherDayField =
        !startsWithStar(fieldsContext.field(2)) && !startsWithStar(fieldsContext.field(4));
  }

  /** Parses an expression or a nickname. */
  public static CronExpression parse(String text) throws InvalidCronExpressionException {
    if (text.length() > MAX_CHARACTERS) {
      throw new InvalidCronExpressionException(
          MAX_CHARACTERS + 1, "at most " + MAX_CHARACTERS + " characters");
    }
    CronParser.ExpressionContext expression = parseTree(text);
    if (expression.fields() != null) {
      return new CronExpression(text, expression.fields());
    }
    Token nickname = expression.nickname().getStart();
    String fields = NICKNAMES.get(nickname.getText().toLowerCase(Locale.ROOT));
    if (fields == null) {
      throw new InvalidCronExpressionException(
          nickname.getCharPositionInLine() + 1,
          nickname.getText().equalsIgnoreCase("@reboot")
              ? "@reboot has no time of its own and is not supported"
              : "expected @yearly, @annually, @monthly, @weekly, @daily, @midnight or @hourly");
    }
    return new CronExpression(text, parseTree(fields).fields());
  }

  /** Records the first syntax error, with a shorter message than ANTLR's own. */
  private static final class FirstErrorListener extends BaseErrorListener {
    private InvalidCronExpressionException error;

    @Override
    public void syntaxError(
        Recognizer<?, ?> recognizer,
        Object offendingSymbol,
        int line,
        int column,
        String message,
        RecognitionException exception) {
      if (error == null) {
        String found =
            offendingSymbol instanceof Token token && token.getType() != Token.EOF
                ? "\"" + token.getText() + "\""
                : "the end";
        error =
            new InvalidCronExpressionException(
                column + 1,
                "found " + found + ", expected " + expectedTokens(recognizer, exception));
      }
    }

    private static String expectedTokens(
        Recognizer<?, ?> recognizer, RecognitionException exception) {
      if (!(recognizer instanceof CronParser parser)) {
        return "a cron expression";
      }
      String tokens =
          (exception == null ? parser.getExpectedTokens() : exception.getExpectedTokens())
              .toString(CronParser.VOCABULARY);
      return tokens
          .replace("BLANK", "a blank and the next field")
          .replace("NUMBER", "a number")
          .replace("NAME", "a name")
          .replace("NICKNAME", "a nickname such as @daily")
          .replace("<EOF>", "the end")
          .replace("{", "one of ")
          .replace("}", "");
    }
  }

  private static CronParser.ExpressionContext parseTree(String text)
      throws InvalidCronExpressionException {
    FirstErrorListener errors = new FirstErrorListener();
    CronLexer lexer = new CronLexer(CharStreams.fromString(text));
    lexer.removeErrorListeners();
    lexer.addErrorListener(errors);
    CronParser parser = new CronParser(new CommonTokenStream(lexer));
    parser.removeErrorListeners();
    parser.addErrorListener(errors);
    CronParser.ExpressionContext expression = parser.expression();
    if (errors.error != null) {
      throw errors.error;
    }
    return expression;
  }

  private static boolean startsWithStar(CronParser.FieldContext field) {
    return field.getStart().getType() == CronParser.STAR;
  }

  private static BitSet parseField(CronParser.FieldContext field, Unit unit)
      throws InvalidCronExpressionException {
    BitSet values = new BitSet();
    for (CronParser.ItemContext item : field.item()) {
      int low = unit.min;
      int high = unit == Unit.WEEKDAY ? 6 : unit.max;
      CronParser.RangeContext range = item.range();
      if (range != null) {
        low = parseValue(range.low, unit);
        high = range.high == null ? low : parseValue(range.high, unit);
        if (high < low) {
          throw invalid(range.getStart(), "a range runs upwards, not from " + low + " to " + high);
        }
        if (item.step != null && range.high == null) {
          throw invalid(item.step, "a step follows a star or a range");
        }
      }
      int step = item.step == null ? 1 : parseNumber(item.step, "step", 1, unit.max);
      for (int value = low; value <= high; value += step) {
        values.set(value);
      }
    }
    return values;
  }

  private static int parseValue(CronParser.ValueContext value, Unit unit)
      throws InvalidCronExpressionException {
    Token token = value.getStart();
    if (token.getType() == CronParser.NUMBER) {
      return parseNumber(token, unit.label, unit.min, unit.max);
    }
    int index = unit.names.indexOf(token.getText().toLowerCase(Locale.ROOT));
    if (index < 0) {
      throw invalid(
          token,
          unit.names.isEmpty()
              ? "the " + unit.label + " is a number from " + unit.min + " to " + unit.max
              : "expected one of " + String.join(", ", unit.names));
    }
    return index + (unit == Unit.MONTH ? 1 : 0);
  }

  private static int parseNumber(Token token, String name, int min, int max)
      throws InvalidCronExpressionException {
    int number =
        token.getText().length() > 4 ? Integer.MAX_VALUE : Integer.parseInt(token.getText());
    if (number < min || number > max) {
      throw invalid(token, "the " + name + " is a number from " + min + " to " + max);
    }
    return number;
  }

  private static InvalidCronExpressionException invalid(Token token, String reason) {
    return new InvalidCronExpressionException(token.getCharPositionInLine() + 1, reason);
  }

  /**
   * Whether the hour field begins with a star: the expression then fires at intervals rather than
   * at given times of day.
   */
  public boolean hasStarHour() {
    return hasStarHour;
  }

  /** Whether the month field contains the month, from 1 to 12. */
  boolean matchesMonth(int month) {
    return months.get(month);
  }

  /** Whether the month and day fields match the day, regardless of the time of day. */
  boolean matches(LocalDate day) {
    if (!months.get(day.getMonthValue())) {
      return false;
    }
    boolean byDay = days.get(day.getDayOfMonth());
    boolean byWeekday = weekdays.get(day.getDayOfWeek().getValue() % 7);
    return matchesEitherDayField ? byDay || byWeekday : byDay && byWeekday;
  }

  /** The first matching time of day at or after the given time, or null if there is none. */
  LocalTime firstAtOrAfter(LocalTime time) {
    int minute =
        time.getSecond() > 0 || time.getNano() > 0 ? time.getMinute() + 1 : time.getMinute();
    int nextMinute = minutes.nextSetBit(minute);
    if (hours.get(time.getHour()) && nextMinute >= 0) {
      return LocalTime.of(time.getHour(), nextMinute);
    }
    int nextHour = hours.nextSetBit(time.getHour() + 1);
    return nextHour < 0 ? null : LocalTime.of(nextHour, minutes.nextSetBit(0));
  }

  /** The last matching time of day before the given time, or null if there is none. */
  LocalTime lastBefore(LocalTime time) {
    int minute =
        time.getSecond() > 0 || time.getNano() > 0 ? time.getMinute() : time.getMinute() - 1;
    int previousMinute = minute < 0 ? -1 : minutes.previousSetBit(minute);
    if (hours.get(time.getHour()) && previousMinute >= 0) {
      return LocalTime.of(time.getHour(), previousMinute);
    }
    int previousHour = time.getHour() == 0 ? -1 : hours.previousSetBit(time.getHour() - 1);
    return previousHour < 0 ? null : LocalTime.of(previousHour, minutes.length() - 1);
  }

  /** The last matching time of day. */
  LocalTime lastOfDay() {
    return LocalTime.of(hours.length() - 1, minutes.length() - 1);
  }

  /** Whether the expression matches the minute of a local date and time. */
  public boolean matches(LocalDateTime dateTime) {
    return matches(dateTime.toLocalDate())
        && minutes.get(dateTime.getMinute())
        && hours.get(dateTime.getHour());
  }

  @Override
  public String toString() {
    return text;
  }
}
