package io.arrowarch.core.topology;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.arrowarch.core.config.ConfigurationCodec;
import io.arrowarch.core.config.ConfigurationDocument;
import io.arrowarch.core.config.ConfigurationId;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Function;

/** A valid document with its selectors parsed and its names resolved. Immutable. */
public final class Configuration {
  private final ConfigurationDocument document;
  private final ConfigurationId id;
  private final ImmutableMap<String, Layout> layouts;
  private final ImmutableMap<String, Backend> backends;
  private final ImmutableMap<String, QueryKind> kinds;
  private final ImmutableMap<String, ImmutableList<Backend>> backendsByLayout;

  private Configuration(ConfigurationDocument document) {
    this.document = document;
    this.id = new ConfigurationId(document.version(), ConfigurationCodec.digest(document));
    this.layouts =
        document.layouts().stream()
            .map(Layout::of)
            .collect(toImmutableMap(Layout::name, Function.identity()));
    this.backends =
        document.backends().stream()
            .map(Backend::of)
            .collect(toImmutableMap(Backend::id, Function.identity()));
    this.kinds =
        document.kinds().stream()
            .map(spec -> QueryKind.of(spec, layouts.get(spec.layout())))
            .collect(toImmutableMap(QueryKind::name, Function.identity()));
    this.backendsByLayout =
        layouts.keySet().stream().collect(toImmutableMap(Function.identity(), this::holdersOf));
  }

  /** Compiles a document that {@link ConfigurationCodec} read without faults. */
  public static Configuration compile(ConfigurationDocument document) {
    return new Configuration(document);
  }

  /** The document as the operators wrote it. */
  public ConfigurationDocument document() {
    return document;
  }

  /** The version and digest. */
  public ConfigurationId id() {
    return id;
  }

  /** Number of routers in the document, among which the connections of back ends are divided. */
  public int routerCount() {
    return document.zones().stream().mapToInt(zone -> zone.voters().size()).sum();
  }

  /** The back ends by id. */
  public ImmutableMap<String, Backend> backends() {
    return backends;
  }

  /** The layouts by name. */
  public ImmutableMap<String, Layout> layouts() {
    return layouts;
  }

  /** The kinds by name. */
  public ImmutableMap<String, QueryKind> kinds() {
    return kinds;
  }

  /** The kind with this name, if any. */
  public Optional<QueryKind> kind(String name) {
    return Optional.ofNullable(kinds.get(name));
  }

  /**
   * Decides which back ends may serve a kind.
   *
   * @param routerZone the zone of the router that selects
   * @param wallTime the time for which the windows of rules are evaluated
   */
  public Selection select(QueryKind kind, String routerZone, Instant wallTime) {
    return Selection.of(kind, backendsByLayout.get(kind.layout().name()), routerZone, wallTime);
  }

  private ImmutableList<Backend> holdersOf(String layout) {
    return backends.values().stream()
        .filter(backend -> backend.shardOf(layout).isPresent())
        .collect(ImmutableList.toImmutableList());
  }
}
