package io.arrowarch.core.wire;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.arrowarch.core.config.ConfigurationDocument;
import io.arrowarch.core.config.SchemaReader;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.testng.annotations.Test;

/** Deeply nested documents must not overflow the stack of the thread that reads them. */
public final class NestedDocumentsTest {
  private static final int NESTING = 990;
  private static final long STACK_BYTES = 256 << 10;
  private static final String NESTED = "{\"a\":".repeat(NESTING) + "1" + "}".repeat(NESTING);

  @Test
  public void nestedMessageEndsAsAMessageOrAFailure() throws InterruptedException {
    assertThat(onSmallStack(() -> WireCodec.decodeTree(NESTED.getBytes(UTF_8)))).isCompleted();
  }

  @Test
  public void nestedConfigurationHasFaults() throws InterruptedException {
    SchemaReader reader =
        SchemaReader.fromResource(ConfigurationDocument.class, "configuration.schema.json");

    assertThat(onSmallStack(() -> reader.readJson(NESTED, Object.class)))
        .isCompletedWithValueMatching(read -> read.isLeft());
    assertThat(onSmallStack(() -> reader.readYaml(NESTED, Object.class)))
        .isCompletedWithValueMatching(read -> read.isLeft());
  }

  private static <T> CompletableFuture<T> onSmallStack(Supplier<T> task)
      throws InterruptedException {
    CompletableFuture<T> result = new CompletableFuture<>();
    Thread thread = new Thread(null, () -> result.complete(task.get()), "small", STACK_BYTES);
    thread.start();
    thread.join();
    return result;
  }
}
