package io.arrowarch.core.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.testng.annotations.Test;

/** Which of two entries of a key is the later one, by the server's own word. */
public final class ServerEntriesTest {
  private final ServerEntries entries = new ServerEntries();

  private static ServerEntry entry(long born, long sequence) {
    return new ServerEntry(
        "i@" + born,
        "i",
        "s",
        "10.0.0.1:80",
        "z",
        2,
        false,
        Duration.ZERO,
        new EntryVersion(born, sequence));
  }

  private static boolean isBefore(long born, long sequence, long otherBorn, long otherSequence) {
    return new EntryVersion(born, sequence).isBefore(new EntryVersion(otherBorn, otherSequence));
  }

  @Test
  public void aLaterBirthIsLaterWhateverItsCount() {
    assertThat(isBefore(1_000, 90, 2_000, 1)).isTrue();
    assertThat(isBefore(2_000, 1, 1_000, 90)).isFalse();
  }

  @Test
  public void withinOneBirthTheCountDecides() {
    assertThat(isBefore(1_000, 4, 1_000, 5)).isTrue();
    assertThat(isBefore(1_000, 5, 1_000, 5)).isFalse();
  }

  @Test
  public void withoutABirthTheCountMayHaveBegunAnew() {
    assertThat(isBefore(0, 1, 0, 90)).isFalse();
    assertThat(isBefore(0, 1, 1_000, 90)).isFalse();
    assertThat(isBefore(1_000, 1, 0, 90)).isFalse();
  }

  @Test
  public void whatAServerSaidBeforeItsEntryWentIsStillBefore() {
    entries.put("k", entry(2_000, 3));
    entries.remove("k");

    assertThat(entries.isStale("k", entry(1_000, 90))).isTrue();
    assertThat(entries.isStale("k", entry(2_000, 2))).isTrue();
    assertThat(entries.isStale("k", entry(2_000, 4))).isFalse();
    assertThat(entries.isStale("other", entry(1_000, 1))).isFalse();
  }
}
