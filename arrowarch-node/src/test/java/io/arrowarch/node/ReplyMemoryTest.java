package io.arrowarch.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** Replies that never end leave room for others. */
public final class ReplyMemoryTest {
  private static final int MIB = 1 << 20;

  private final ReplyMemory memory = new ReplyMemory(10 * MIB);

  @Test
  public void largeRepliesTogetherTakeNoMoreThanTheLimit() {
    int taken = 0;
    for (int reply = 0; reply < 40; reply++) {
      for (int held = 0; held < 4 * MIB && memory.tryTake(held, MIB); held += MIB) {
        taken += MIB;
      }
    }

    assertThat(taken).isEqualTo(10 * MIB);
    assertThat(memory.tryTake(0, 1_000)).as("room for a small reply").isTrue();
    memory.release(1_000);
    memory.release(4 * MIB);
    assertThat(memory.tryTake(0, 4 * MIB)).as("room after a reply has ended").isTrue();
  }
}
