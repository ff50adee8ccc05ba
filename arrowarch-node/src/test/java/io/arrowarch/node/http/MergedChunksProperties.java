package io.arrowarch.node.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** A body in chunks loses bytes, or gets others, when its chunks are passed on in larger ones. */
class MergedChunksProperties {
  private static final int MOST_CHUNKS = 40;
  private static final int MOST_BYTES = 30;
  private static final int HEXADECIMAL = 16;
  private static final String NEXT_REQUEST = "GET /next HTTP/1.1\r\n";

  @Property(seed = "20261207", tries = 2_000)
  void contentIsPassedOnAsItIs(@ForAll long seed) throws MalformedResponseException {
    Random random = new Random(seed);
    StringBuilder content = new StringBuilder();
    String framed = framed(random, content) + NEXT_REQUEST;
    BodyFraming body = BodyFraming.inMergedChunks();
    List<String> passedOn = new ArrayList<>();
    int position = 0;
    String behind = "";
    while (position < framed.length()) {
      int end = Math.min(framed.length(), position + 1 + random.nextInt(MOST_BYTES));
      ByteBuf in =
          Unpooled.copiedBuffer(framed.substring(position, end), StandardCharsets.ISO_8859_1);
      if (!body.hasEnded()) {
        ByteBuf piece = body.next(in);
        passedOn.add(piece.toString(StandardCharsets.ISO_8859_1));
        piece.release();
      }
      behind += in.toString(StandardCharsets.ISO_8859_1);
      in.release();
      position = end;
    }

    assertThat(body.hasEnded()).isTrue();
    assertThat(behind).isEqualTo(NEXT_REQUEST);
    assertThat(contentOf(String.join("", passedOn))).isEqualTo(content.toString());
  }

  /** Each chunk of one byte passed through the decoder as an object of its own. */
  @Example
  void chunksThatComeTogetherAreOne() throws MalformedResponseException {
    String framed = "1\r\nx\r\n".repeat(1_000);
    ByteBuf in = Unpooled.copiedBuffer(framed, StandardCharsets.ISO_8859_1);
    ByteBuf piece = BodyFraming.inMergedChunks().next(in);

    assertThat(piece.toString(StandardCharsets.ISO_8859_1))
        .isEqualTo("3e8\r\n" + "x".repeat(1_000) + "\r\n");
  }

  private static String framed(Random random, StringBuilder content) {
    StringBuilder framed = new StringBuilder();
    for (int chunks = random.nextInt(MOST_CHUNKS); chunks > 0; chunks--) {
      int bytes = 1 + random.nextInt(MOST_BYTES);
      String extension = random.nextInt(4) == 0 ? ";a=b" : "";
      StringBuilder chunk = new StringBuilder();
      for (int i = 0; i < bytes; i++) {
        chunk.append("0aF\r\n;x".charAt(random.nextInt(7)));
      }
      framed.append(Integer.toHexString(bytes)).append(extension).append("\r\n");
      framed.append(chunk).append("\r\n");
      content.append(chunk);
    }
    return framed.append(random.nextBoolean() ? "0\r\n\r\n" : "0\r\nX-End: 1\r\n\r\n").toString();
  }

  /** Reads chunks without extensions, up to the last one. */
  private static String contentOf(String framed) {
    StringBuilder content = new StringBuilder();
    int position = 0;
    while (true) {
      int lineEnd = framed.indexOf("\r\n", position);
      int bytes = Integer.parseInt(framed.substring(position, lineEnd), HEXADECIMAL);
      int start = lineEnd + 2;
      assertThat(framed.substring(start + bytes, start + bytes + 2)).isEqualTo("\r\n");
      if (bytes == 0) {
        assertThat(framed).hasSize(start + 2);
        return content.toString();
      }
      content.append(framed, start, start + bytes);
      position = start + bytes + 2;
    }
  }
}
