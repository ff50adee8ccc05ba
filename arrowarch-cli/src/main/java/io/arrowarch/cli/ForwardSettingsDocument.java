package io.arrowarch.cli;

import com.google.common.base.Preconditions;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.io.Files;
import io.arrowarch.core.config.ConfigurationFault;
import io.arrowarch.core.config.SchemaReader;
import io.arrowarch.core.feed.FeedBounds;
import io.arrowarch.core.forward.ColdServerRules;
import io.arrowarch.core.forward.ExtraAttemptRules;
import io.arrowarch.core.forward.ForwardOptions;
import io.arrowarch.core.forward.Mechanism;
import io.arrowarch.core.tenant.LimitRules;
import io.arrowarch.core.tenant.RevocationRules;
import io.arrowarch.core.tenant.TenantRules;
import io.arrowarch.core.time.Durations;
import io.arrowarch.node.JsonFields;
import io.arrowarch.node.SocketAddressSetting;
import io.arrowarch.node.forward.ForwardNodeSettings;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.io.File;
import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The settings file of a router that passes requests on, as its owner writes it. The schema is
 * forward-settings.schema.json.
 */
public record ForwardSettingsDocument(
    String id,
    String zone,
    Optional<ProcessorDocument> processor,
    String callers,
    String readiness,
    String peers,
    Optional<String> metrics,
    String store,
    Optional<List<String>> contacts,
    Optional<String> stopGrace,
    Optional<String> storeSilence,
    Optional<String> configurationWithin,
    Optional<String> drainWithin,
    Optional<Map<String, String>> regions,
    Optional<ColdServersDocument> coldServers,
    Optional<RevocationDocument> revocation,
    Optional<TenantLimitsDocument> tenantLimits,
    Optional<Integer> maximumRequests,
    Optional<Integer> descriptors,
    ExtraAttemptsDocument extraAttempts,
    Optional<List<String>> without) {
  private static final String SCHEMA = "forward-settings.schema.json";
  private static final String PROCESSOR = "processor";
  private static final String COLD_SERVERS = "coldServers";
  private static final String REVOCATION = "revocation";
  private static final String TENANT_LIMITS = "tenantLimits";
  private static final String DEFAULT_STOP_GRACE = "6s";
  private static final String DEFAULT_STORE_SILENCE = "4s";
  private static final String DEFAULT_APPLY = "3s";
  private static final double DEFAULT_CORES = 1;
  private static final int DEFAULT_MAXIMUM_REQUESTS = 1_000;
  private static final Duration DEFAULT_TIME_LEFT = Duration.ofSeconds(10);
  private static final LimitRules EXACT_LIMITS = new LimitRules(Duration.ofSeconds(5), 0, 0);

  /**
   * The processor that the machine gives the router.
   *
   * @param speed how fast it is, as a multiple of one core
   * @param share the part of the time for which the router has it, from 0 to 1
   */
  public record ProcessorDocument(double speed, double share) {
    double toCores() {
      return speed * share;
    }
  }

  /**
   * By how much all routers together may go beyond what a cold server is said to bear.
   *
   * @param overshoot multiple of the rate
   * @param slack requests a second beside that
   */
  public record ColdServersDocument(double overshoot, double slack) {
    ColdServerRules toRules() {
      return new ColdServerRules(overshoot, slack);
    }
  }

  /**
   * Keys that are taken away run nothing after this long, at any router, in touch with the store or
   * not. Without it only routers in touch with the store are bound, by the configuration's bound.
   */
  public record RevocationDocument(String within) {
    RevocationRules toRules() {
      return new RevocationRules(true, Durations.parse(within));
    }
  }

  /**
   * By how much the requests of a tenant over all routers may go beyond its limit.
   *
   * @param window every span of this length counts
   * @param overshoot part of what the limit allows in it
   * @param slack requests in it beside that
   */
  public record TenantLimitsDocument(String window, double overshoot, double slack) {
    LimitRules toRules() {
      return new LimitRules(Durations.parse(window), overshoot, slack);
    }
  }

  /** Bounds of hedges and retries over all routers. */
  public record ExtraAttemptsDocument(double ratio, double allowance, String window) {
    ExtraAttemptRules toRules() {
      return new ExtraAttemptRules(ratio, allowance, Durations.parse(window));
    }
  }

  /** Checks what the schema promises. */
  public ForwardSettingsDocument {
    Preconditions.checkNotNull(extraAttempts, "extraAttempts is null");
  }

  /**
   * Reads a settings file, JSON or YAML; every fault has its path. A JSON file without faults is
   * read without the schema, whose reader takes a good part of a process's start.
   */
  static Either<ImmutableList<ConfigurationFault>, ForwardSettingsDocument> read(File file)
      throws IOException {
    String text = Files.asCharSource(file, StandardCharsets.UTF_8).read();
    return Try.of(() -> readStrictly(text))
        .map(Either::<ImmutableList<ConfigurationFault>, ForwardSettingsDocument>right)
        .getOrElse(() -> readWithSchema(text));
  }

  /** Every fault of a text, with its path. */
  static Either<ImmutableList<ConfigurationFault>, ForwardSettingsDocument> readWithSchema(
      String text) {
    return SchemaReader.fromResource(ForwardSettingsDocument.class, SCHEMA)
        .readYaml(text, ForwardSettingsDocument.class);
  }

  private static ForwardSettingsDocument readStrictly(String text) throws IOException {
    JsonFields fields = JsonFields.parse(text);
    ForwardSettingsDocument document = fromFields(fields);
    ForwardNodeSettings unused = document.toNodeSettings();
    requireOnly(ForwardSettingsDocument.class, fields);
    requireOnly(ExtraAttemptsDocument.class, fields.object("extraAttempts"));
    if (document.processor().isPresent()) {
      requireOnly(ProcessorDocument.class, fields.object(PROCESSOR));
    }
    if (document.coldServers().isPresent()) {
      requireOnly(ColdServersDocument.class, fields.object(COLD_SERVERS));
    }
    if (document.revocation().isPresent()) {
      requireOnly(RevocationDocument.class, fields.object(REVOCATION));
    }
    if (document.tenantLimits().isPresent()) {
      requireOnly(TenantLimitsDocument.class, fields.object(TENANT_LIMITS));
    }
    return document;
  }

  private static void requireOnly(Class<? extends Record> document, JsonFields fields)
      throws IOException {
    ImmutableSet<String> known =
        Arrays.stream(document.getRecordComponents())
            .map(RecordComponent::getName)
            .collect(ImmutableSet.toImmutableSet());
    if (!known.containsAll(fields.names())) {
      throw new IOException("there are unknown fields");
    }
  }

  private static ForwardSettingsDocument fromFields(JsonFields fields) {
    JsonFields extraAttempts = fields.object("extraAttempts");
    return new ForwardSettingsDocument(
        fields.text("id"),
        fields.text("zone"),
        processor(fields),
        fields.text("callers"),
        fields.text("readiness"),
        fields.text("peers"),
        fields.optionalText("metrics"),
        fields.text("store"),
        Optional.of(fields.texts("contacts")),
        fields.optionalText("stopGrace"),
        fields.optionalText("storeSilence"),
        fields.optionalText("configurationWithin"),
        fields.optionalText("drainWithin"),
        fields.optionalObject("regions").map(JsonFields::textsByName),
        fields
            .optionalObject(COLD_SERVERS)
            .map(cold -> new ColdServersDocument(cold.number("overshoot"), cold.number("slack"))),
        fields
            .optionalObject(REVOCATION)
            .map(revocation -> new RevocationDocument(revocation.text("within"))),
        fields
            .optionalObject(TENANT_LIMITS)
            .map(
                limits ->
                    new TenantLimitsDocument(
                        limits.text("window"), limits.number("overshoot"), limits.number("slack"))),
        fields.optionalWhole("maximumRequests").map(Math::toIntExact),
        fields.optionalWhole("descriptors").map(Math::toIntExact),
        new ExtraAttemptsDocument(
            extraAttempts.number("ratio"),
            extraAttempts.number("allowance"),
            extraAttempts.text("window")),
        Optional.of(fields.texts("without")));
  }

  private static Optional<ProcessorDocument> processor(JsonFields fields) {
    if (!fields.names().contains(PROCESSOR)) {
      return Optional.empty();
    }
    JsonFields processor = fields.object(PROCESSOR);
    return Optional.of(new ProcessorDocument(processor.number("speed"), processor.number("share")));
  }

  /** The settings with defaults filled in. */
  ForwardNodeSettings toNodeSettings() {
    return new ForwardNodeSettings(
        id,
        SocketAddressSetting.parse(callers),
        SocketAddressSetting.parse(readiness),
        SocketAddressSetting.parse(peers),
        metrics.map(SocketAddressSetting::parse),
        SocketAddressSetting.parse(store),
        contacts.orElse(ImmutableList.of()).stream()
            .map(SocketAddressSetting::parse)
            .collect(ImmutableList.toImmutableList()),
        descriptors.orElseGet(OpenFileLimit::get),
        Durations.parse(stopGrace.orElse(DEFAULT_STOP_GRACE)),
        new ForwardOptions(
            id,
            zone,
            processor.map(ProcessorDocument::toCores).orElse(DEFAULT_CORES),
            maximumRequests.orElse(DEFAULT_MAXIMUM_REQUESTS),
            extraAttempts.toRules(),
            DEFAULT_TIME_LEFT,
            storeBounds(),
            coldServers.map(ColdServersDocument::toRules).orElse(ColdServerRules.EXACT),
            regions.map(ImmutableMap::copyOf).orElse(ImmutableMap.of()),
            tenantRules(),
            without.orElse(ImmutableList.of()).stream()
                .map(ForwardSettingsDocument::mechanism)
                .collect(ImmutableSet.toImmutableSet())));
  }

  private FeedBounds storeBounds() {
    Duration configuration = Durations.parse(configurationWithin.orElse(DEFAULT_APPLY));
    Duration drain = Durations.parse(drainWithin.orElse(DEFAULT_APPLY));
    Duration apply = configuration.compareTo(drain) < 0 ? configuration : drain;
    return new FeedBounds(
        Durations.parse(storeSilence.orElse(DEFAULT_STORE_SILENCE)),
        apply,
        revocation.map(strict -> Durations.parse(strict.within())).orElse(apply),
        revocation.isPresent());
  }

  private TenantRules tenantRules() {
    RevocationRules usual =
        new RevocationRules(false, Durations.parse(configurationWithin.orElse(DEFAULT_APPLY)));
    return new TenantRules(
        revocation.map(RevocationDocument::toRules).orElse(usual),
        tenantLimits.map(TenantLimitsDocument::toRules).orElse(EXACT_LIMITS));
  }

  private static Mechanism mechanism(String name) {
    return Mechanism.ofSettingName(name)
        .orElseThrow(() -> new IllegalArgumentException("no mechanism is named " + name));
  }
}
