package io.arrowarch.node.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;

/** Compares what is given out with what a plain parser reads, for streams that were changed. */
class ResponseFramingProperties {
  private static final int STEPS = Integer.getInteger("framing.steps", 20_000);
  private static final long SEED = Long.getLong("framing.seed", 20_261_205L);
  private static final int MAXIMUM_CHANGES = 4;
  private static final String TELLING_BYTES = "\r\n :;0123456789HTTP/1.1abf\t,-+\0\u007f\u00e9";

  /** A changed stream is read as another response, or as one where it is none. */
  @Example
  void changedStreamsAreReadAsByThePlainParser() {
    Random random = new Random(SEED);
    List<String> wrong = new ArrayList<>();
    int sound = 0;
    for (int step = 0; step < STEPS; step++) {
      SoundResponses.Answer answer = SoundResponses.any(random);
      String bytes = changed(answer.bytes(), random);
      ReferenceParser.Verdict expected = ReferenceParser.parse(bytes, answer.method());
      sound += expected.sound() ? 1 : 0;
      GuardedChannel channel = new GuardedChannel();
      channel.request(answer.method());
      receiveInPieces(channel, bytes, random);
      boolean passed = channel.fault().isEmpty();
      channel.endByPeer();
      boolean same = channel.whole().equals(expected.response().stream().toList());
      if (!same || (expected.sound() && !passed)) {
        wrong.add(
            answer.method()
                + " "
                + bytes
                + " expected "
                + expected
                + ", fault "
                + channel.fault()
                + ", got "
                + channel.whole());
      }
    }
    System.out.printf(
        "changed streams: %d, of which sound %d, wrong %d%n", STEPS, sound, wrong.size());
    assertThat(wrong).isEmpty();
  }

  private static void receiveInPieces(GuardedChannel channel, String bytes, Random random) {
    int from = 0;
    while (from < bytes.length()) {
      int to = Math.min(bytes.length(), from + 1 + random.nextInt(bytes.length()));
      channel.receive(bytes.substring(from, to));
      from = to;
    }
  }

  private static String changed(String bytes, Random random) {
    StringBuilder changed = new StringBuilder(bytes);
    int changes = random.nextInt(MAXIMUM_CHANGES + 1);
    for (int i = 0; i < changes && !changed.isEmpty(); i++) {
      change(changed, random);
    }
    return changed.toString();
  }

  private static void change(StringBuilder changed, Random random) {
    int from = random.nextInt(changed.length());
    int to = Math.min(changed.length(), from + 1 + random.nextInt(4));
    switch (random.nextInt(5)) {
      case 0 -> changed.insert(from, tellingByte(random));
      case 1 -> changed.delete(from, to);
      case 2 -> changed.insert(from, changed.substring(from, to));
      case 3 -> changed.setCharAt(from, (char) (changed.charAt(from) ^ 1 << random.nextInt(8)));
      default -> changed.setCharAt(from, tellingByte(random));
    }
  }

  private static char tellingByte(Random random) {
    return TELLING_BYTES.charAt(random.nextInt(TELLING_BYTES.length()));
  }
}
