package io.arrowarch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.arrowarch.core.config.ConfigurationFault;
import io.arrowarch.core.forward.ColdServerRules;
import io.arrowarch.core.forward.ForwardOptions;
import io.arrowarch.core.forward.Mechanism;
import io.arrowarch.node.forward.ForwardNodeSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

public final class ForwardSettingsTest {
  private static final String VALID =
      """
      {"id": "edge-1", "zone": "a", "callers": "10.0.0.1:80", "readiness": "10.0.0.1:81",
       "peers": "10.0.0.1:82", "store": "10.0.0.9:1", "contacts": ["10.0.0.2:82"],
       "stopGrace": "6s", "extraAttempts": {"ratio": 0.2, "allowance": 56, "window": "10s"}}
      """;

  @Test
  public void jsonIsRead() throws IOException {
    ForwardNodeSettings settings = read(VALID).toNodeSettings();

    assertThat(settings.stopGrace()).isEqualTo(Duration.ofSeconds(6));
    assertThat(settings.options().extraAttempts().allowance()).isEqualTo(56);
    assertThat(settings.contacts()).hasSize(1);
  }

  @Test
  public void yamlIsReadToo() throws IOException {
    String yaml =
        """
        id: edge-1
        zone: a
        callers: 10.0.0.1:80
        readiness: 10.0.0.1:81
        peers: 10.0.0.1:82
        store: 10.0.0.9:1
        extraAttempts: {ratio: 0.2, allowance: 56, window: 10s}
        """;
    assertThat(read(yaml).toNodeSettings()).isNotNull();
  }

  @Test
  public void everyFaultIsNamedWithItsPath() throws IOException {
    assertThat(faults(VALID.replace("\"10.0.0.9:1\"", "\"somewhere\"")))
        .extracting(ConfigurationFault::path)
        .containsExactly("$.store");
    assertThat(faults(VALID.replace("\"ratio\": 0.2", "\"ratio\": 7")))
        .extracting(ConfigurationFault::path)
        .containsExactly("$.extraAttempts.ratio");
    assertThat(faults(VALID.replace("\"zone\"", "\"zoen\""))).hasSize(2);
    assertThat(faults("{")).hasSize(1);
  }

  @Test
  public void timesHaveDefaultsAndAreChecked() throws IOException {
    String silent = VALID.replace("\"id\"", "\"storeSilence\": \"5000ms\", \"id\"");

    assertThat(read(VALID).toNodeSettings().options().store().silence())
        .isEqualTo(Duration.ofSeconds(4));
    assertThat(read(silent).toNodeSettings().options().store().silence())
        .isEqualTo(Duration.ofSeconds(5));
    assertThat(faults(silent.replace("5000ms", "soon")))
        .extracting(ConfigurationFault::path)
        .containsExactly("$.storeSilence");
  }

  @Test
  public void boundsOfColdServersAndRegionsOfZonesAreReadAndChecked() throws IOException {
    String more =
        VALID.replace(
            "\"id\"",
            "\"coldServers\": {\"overshoot\": 1.5, \"slack\": 5},"
                + " \"regions\": {\"a\": \"north\"}, \"id\"");

    ForwardOptions options = read(more).toNodeSettings().options();
    assertThat(options.coldServers()).isEqualTo(new ColdServerRules(1.5, 5));
    assertThat(options.regions()).containsExactly(Map.entry("a", "north"));
    assertThat(faults(more.replace("1.5", "-1")))
        .extracting(ConfigurationFault::path)
        .containsExactly("$.coldServers.overshoot");
    assertThat(faults(more.replace("\"north\"", "7")))
        .extracting(ConfigurationFault::path)
        .containsExactly("$.regions.a");
  }

  @Test
  public void mechanismsAreLeftOutByName() throws IOException {
    String without = VALID.replace("\"id\"", "\"without\": [\"hedges\"], \"id\"");

    assertThat(read(without).toNodeSettings().options().without())
        .containsExactly(Mechanism.HEDGES);
    assertThat(faults(without.replace("hedges", "hedge")))
        .extracting(ConfigurationFault::path)
        .containsExactly("$.without[0]");
  }

  @Test
  public void everyMechanismHasItsNameInTheSchema() throws IOException {
    for (Mechanism mechanism : Mechanism.values()) {
      String without =
          VALID.replace("\"id\"", "\"without\": [\"" + mechanism.settingName() + "\"], \"id\"");
      assertThat(ForwardSettingsDocument.readWithSchema(without).isRight())
          .as(mechanism.settingName())
          .isTrue();
    }
  }

  private static ForwardSettingsDocument read(String text) throws IOException {
    return ForwardSettingsDocument.read(write(text).toFile()).get();
  }

  private static List<ConfigurationFault> faults(String text) throws IOException {
    return ForwardSettingsDocument.read(write(text).toFile()).getLeft();
  }

  private static Path write(String text) throws IOException {
    Path file = Files.createTempFile("settings", ".json");
    return Files.writeString(file, text);
  }
}
