package io.arrowarch.core.selector;

import java.time.DateTimeException;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A daily window of local time, for example {@code 06:00-22:00 America/Recife}.
 *
 * <p>The start is inclusive and the end is exclusive. A window whose end is before its start spans
 * midnight. The window follows the local time of its time zone: at a change of daylight saving
 * time, an hour that is skipped is never in it, and an hour that is repeated is in it both times.
 */
public final class DayWindow {
  private static final Pattern FORMAT =
      Pattern.compile("([0-2][0-9]:[0-5][0-9])-([0-2][0-9]:[0-5][0-9]) (\\S+)");
  private static final String MIDNIGHT_AT_END = "24:00";

  private final String text;
  private final LocalTime start;
  private final LocalTime end;
  private final ZoneId zone;

  private DayWindow(String text, LocalTime start, LocalTime end, ZoneId zone) {
    this.text = text;
    this.start = start;
    this.end = end;
    this.zone = zone;
  }

  /**
   * Parses a window.
   *
   * @throws IllegalArgumentException when the format, a time or the time zone is invalid
   */
  public static DayWindow parse(String text) {
    Matcher matcher = FORMAT.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException(
          "'" + text + "' is not a window such as 06:00-22:00 America/Recife");
    }
    try {
      LocalTime start = LocalTime.parse(matcher.group(1));
      String endText = matcher.group(2);
      LocalTime end =
          endText.equals(MIDNIGHT_AT_END) ? LocalTime.MIDNIGHT : LocalTime.parse(endText);
      if (start.equals(end)) {
        throw new IllegalArgumentException("'" + text + "' starts and ends at the same time");
      }
      return new DayWindow(text, start, end, ZoneId.of(matcher.group(3)));
    } catch (DateTimeException e) {
      throw new IllegalArgumentException("'" + text + "': " + e.getMessage(), e);
    }
  }

  /** Whether the instant is in the window. */
  public boolean contains(Instant instant) {
    LocalTime local = instant.atZone(zone).toLocalTime();
    if (start.isBefore(end)) {
      return !local.isBefore(start) && local.isBefore(end);
    }
    return !local.isBefore(start) || local.isBefore(end);
  }

  @Override
  public String toString() {
    return text;
  }
}
