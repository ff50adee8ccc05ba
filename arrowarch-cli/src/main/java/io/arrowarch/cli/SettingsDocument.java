package io.arrowarch.cli;

import com.google.common.collect.ImmutableList;
import com.google.common.io.Files;
import io.arrowarch.core.config.ConfigurationFault;
import io.arrowarch.core.config.SchemaReader;
import io.arrowarch.core.time.Durations;
import io.arrowarch.node.NodeSettings;
import io.arrowarch.node.SocketAddressSetting;
import io.vavr.control.Either;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/** The settings file of a node, as its owner writes it. The schema is settings.schema.json. */
public record SettingsDocument(
    String id,
    String zone,
    String callers,
    String peers,
    String platform,
    Optional<List<String>> contacts,
    Optional<String> drainGrace,
    Optional<Integer> maximumQueries,
    Optional<Integer> maximumBodyBytes,
    Optional<LogFormat> logFormat) {
  private static final SchemaReader READER =
      SchemaReader.fromResource(SettingsDocument.class, "settings.schema.json");
  private static final String DEFAULT_DRAIN_GRACE = "2s";
  private static final int DEFAULT_MAXIMUM_QUERIES = 2_000;
  private static final int DEFAULT_MAXIMUM_BODY_BYTES = 1 << 20;

  /** Reads a settings file; every fault has its path. */
  static Either<ImmutableList<ConfigurationFault>, SettingsDocument> read(File file)
      throws IOException {
    String text = Files.asCharSource(file, StandardCharsets.UTF_8).read();
    return READER.readYaml(text, SettingsDocument.class);
  }

  /** The settings with defaults filled in. */
  NodeSettings toNodeSettings() {
    return new NodeSettings(
        id,
        zone,
        SocketAddressSetting.parse(callers),
        SocketAddressSetting.parse(peers),
        SocketAddressSetting.parse(platform),
        contacts.orElse(ImmutableList.of()).stream()
            .map(SocketAddressSetting::parse)
            .collect(ImmutableList.toImmutableList()),
        Durations.parse(drainGrace.orElse(DEFAULT_DRAIN_GRACE)),
        maximumQueries.orElse(DEFAULT_MAXIMUM_QUERIES),
        maximumBodyBytes.orElse(DEFAULT_MAXIMUM_BODY_BYTES));
  }
}
