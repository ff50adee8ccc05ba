package io.arrowarch.core.selector;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/**
 * Daily windows of local time. Times near midnight and at the changes of daylight saving time are
 * where a window computed from UTC or from elapsed time would be wrong.
 */
class DayWindowProperties {
  private static final String RECIFE = "America/Recife";
  private static final String BRATISLAVA = "Europe/Bratislava";
  private static final int MINUTES_PER_DAY = 1_440;

  @Property(tries = 500, seed = "1")
  void windowAndItsComplementPartitionTheDay(
      @ForAll @IntRange(max = MINUTES_PER_DAY - 1) int start,
      @ForAll @IntRange(max = MINUTES_PER_DAY - 1) int end,
      @ForAll @LongRange(min = 1_700_000_000, max = 1_900_000_000) long second) {
    if (start == end) {
      return;
    }
    Instant instant = Instant.ofEpochSecond(second);
    boolean inside = window(start, end).contains(instant);
    boolean outside = window(end, start).contains(instant);
    assertThat(inside).isNotEqualTo(outside);
  }

  @Property(tries = 500, seed = "1")
  void containsFollowsTheLocalClock(
      @ForAll @IntRange(max = MINUTES_PER_DAY - 2) int start,
      @ForAll @LongRange(min = 1_700_000_000, max = 1_900_000_000) long second) {
    Instant instant = Instant.ofEpochSecond(second);
    LocalTime local = instant.atZone(ZoneId.of(BRATISLAVA)).toLocalTime();
    boolean expected = local.getHour() * 60 + local.getMinute() == start;
    assertThat(window(start, start + 1).contains(instant)).isEqualTo(expected);
  }

  @Example
  void wrapsMidnight() {
    DayWindow night = DayWindow.parse("20:00-06:00 " + RECIFE);
    assertThat(night.contains(Instant.parse("2026-06-15T23:00:00Z"))).isTrue();
    assertThat(night.contains(Instant.parse("2026-06-15T08:59:59Z"))).isTrue();
    assertThat(night.contains(Instant.parse("2026-06-15T09:00:00Z"))).isFalse();
  }

  @Example
  void skippedHourOfSpringIsNotInTheWindow() {
    DayWindow window = DayWindow.parse("02:00-03:00 " + BRATISLAVA);
    for (int minute = 0; minute < MINUTES_PER_DAY; minute++) {
      Instant instant = Instant.parse("2026-03-28T23:00:00Z").plusSeconds(60L * minute);
      assertThat(window.contains(instant)).as("%s", instant).isFalse();
    }
  }

  @Example
  void repeatedHourOfAutumnIsInTheWindowTwice() {
    DayWindow window = DayWindow.parse("02:00-03:00 " + BRATISLAVA);
    assertThat(window.contains(Instant.parse("2026-10-25T00:30:00Z"))).isTrue();
    assertThat(window.contains(Instant.parse("2026-10-25T01:30:00Z"))).isTrue();
    assertThat(window.contains(Instant.parse("2026-10-25T02:30:00Z"))).isFalse();
  }

  @Example
  void refusesMalformedWindows() {
    for (String text :
        new String[] {
          "6-22 UTC",
          "06:00-22:00",
          "06:00-06:00 UTC",
          "25:00-26:00 UTC",
          "06:00-22:00 Nowhere/Else"
        }) {
      assertThatThrownBy(() -> DayWindow.parse(text)).isInstanceOf(IllegalArgumentException.class);
    }
  }

  private static DayWindow window(int startMinute, int endMinute) {
    return DayWindow.parse(clock(startMinute) + "-" + clock(endMinute) + " " + BRATISLAVA);
  }

  private static String clock(int minute) {
    return String.format("%02d:%02d", minute / 60, minute % 60);
  }
}
