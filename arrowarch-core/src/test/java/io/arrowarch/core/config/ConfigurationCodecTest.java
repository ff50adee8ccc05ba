package io.arrowarch.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.TestDocuments;
import java.util.List;
import java.util.regex.Pattern;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A faulty configuration document must be rejected with the path of each fault. Each case of {@link
 * #faults} breaks one element of a valid document; truncated and repeated text stands for documents
 * damaged on their way.
 */
public class ConfigurationCodecTest {
  private static final String VALID = ConfigurationCodec.toJson(TestDocuments.valid());

  @Test
  public void readsBackWhatItWrites() {
    assertThat(ConfigurationCodec.fromJson(VALID).get()).isEqualTo(TestDocuments.valid());
    assertThat(ConfigurationCodec.fromYaml(VALID).get()).isEqualTo(TestDocuments.valid());
  }

  @DataProvider
  public Object[][] faults() {
    return new Object[][] {
      {"\"version\":1", "\"version\":0", "$.version"},
      {"\"version\":1", "\"version\":1,\"extra\":2", "$"},
      {"\"share\":0.75", "\"share\":0.5", "$.layouts[0].shards"},
      {"\"zone\":\"z1\"", "\"zone\":\"z9\"", "$.backends[0].zone"},
      {"127.0.0.1:9001", "127.0.0.1:99999", "$.backends[0].address"},
      {"127.0.0.1:9001", "somehost:9001", "$.backends[0].address"},
      {"127.0.0.1:9002", "127.0.0.1:9001", "$.backends[1]"},
      {"\"shard\":\"s0\"", "\"shard\":\"s7\"", "$.backends[0].holds[0].shard"},
      {"\"id\":\"b0\"", "\"id\":\"a0\"", "$.backends[1]"},
      {"service = main", "service = none", "$.kinds[0].rules[0].select"},
      {"service = main", "service in", "$.kinds[0].rules[0].select"},
      {"\"deadline\":\"100ms\"", "\"deadline\":\"0ms\"", "$.kinds[0].deadline"},
      {"\"deadline\":\"100ms\"", "\"deadline\":\"soon\"", "$.kinds[0].deadline"},
      {"\"n2\"", "\"n1\"", "$.zones[0].voters[1]"},
      {
        "\"hedgeBudget\":0.0,\"repeatable\":false",
        "\"hedgeBudget\":0.1,\"repeatable\":false",
        "$.kinds[2].hedgeBudget"
      },
    };
  }

  @Test(dataProvider = "faults")
  public void namesThePathOfAFault(String valid, String faulty, String path) {
    String document = VALID.replaceFirst(Pattern.quote(valid), faulty);
    assertThat(document).isNotEqualTo(VALID);
    ImmutableList<ConfigurationFault> faults = ConfigurationCodec.fromJson(document).getLeft();
    assertThat(faults).extracting(ConfigurationFault::path).contains(path);
  }

  @Test
  public void rejectsTruncatedAndRepeatedText() {
    assertThat(ConfigurationCodec.fromJson(VALID.substring(0, 200)).isLeft()).isTrue();
    assertThat(ConfigurationCodec.fromJson(VALID + VALID).isLeft()).isTrue();
    assertThat(ConfigurationCodec.fromJson("").isLeft()).isTrue();
    assertThat(ConfigurationCodec.fromJson("null").isLeft()).isTrue();
  }

  @Test
  public void successorMustRaiseVersionAndGeneration() {
    ConfigurationDocument before = TestDocuments.valid();
    String changed =
        VALID
            .replace("0.75", "0.5")
            .replace("0.25", "0.5")
            .replace("[\"n1\",\"n2\",\"n3\"]", "[\"n1\"]");
    ConfigurationDocument after = ConfigurationCodec.fromJson(changed).get();
    List<String> paths =
        ConfigurationSuccession.faults(before, after).stream()
            .map(ConfigurationFault::path)
            .toList();
    assertThat(paths).containsExactly("$.version", "$.layouts[0].generation", "$.zones");
  }
}
