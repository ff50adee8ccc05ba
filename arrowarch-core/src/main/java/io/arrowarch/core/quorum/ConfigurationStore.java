package io.arrowarch.core.quorum;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.config.ConfigurationCodec;
import io.arrowarch.core.config.ConfigurationDocument;
import io.arrowarch.core.config.ConfigurationFault;
import io.arrowarch.core.config.ConfigurationId;
import io.arrowarch.core.topology.Configuration;
import io.vavr.control.Either;
import java.util.Optional;

/**
 * The configuration that a router has in force. It is replaced only by a higher version, or by a
 * different document with the same version when a majority holds that one.
 */
public final class ConfigurationStore {
  private Optional<Configuration> inForce = Optional.empty();
  private ConfigurationId accepted = ConfigurationId.NONE;
  private Optional<RefusedConfiguration> refused = Optional.empty();

  /**
   * The document that was refused last.
   *
   * @param version the version of the document; 0 when it could not be read
   */
  public record RefusedConfiguration(long version, ImmutableList<ConfigurationFault> faults) {}

  /** The result of offering a document. */
  public enum OfferResult {
    /** The document is now in force. */
    APPLIED,
    /** The document was in force already, or is older than the one in force. */
    KNOWN,
    /** The document has faults, or differs from the one in force with the same version. */
    REFUSED
  }

  /** The configuration in force. */
  public Optional<Configuration> inForce() {
    return inForce;
  }

  /** The id of the configuration in force, {@link ConfigurationId#NONE} without one. */
  public ConfigurationId inForceId() {
    return inForce.map(Configuration::id).orElse(ConfigurationId.NONE);
  }

  /** The newest configuration known to be accepted. */
  public ConfigurationId accepted() {
    return accepted;
  }

  /** The document that was refused last; empty when a later one was applied. */
  public Optional<RefusedConfiguration> refused() {
    return refused;
  }

  /** Applies a document from the platform or another router if it is valid and newer. */
  public OfferResult offer(String json) {
    return applyIfNewer(json, false);
  }

  /**
   * Applies a document that a majority holds. Unlike {@link #offer}, also replaces a different
   * document with the same version.
   */
  public OfferResult offerFromMajority(String json) {
    return applyIfNewer(json, true);
  }

  /** Records that a configuration is accepted. */
  public void onAccepted(ConfigurationId id) {
    if (id.version() > accepted.version()) {
      accepted = id;
    }
  }

  private OfferResult applyIfNewer(String json, boolean replacesSameVersion) {
    Either<ImmutableList<ConfigurationFault>, ConfigurationDocument> read =
        ConfigurationCodec.fromJson(json);
    if (read.isLeft()) {
      return refuse(0, read.getLeft());
    }
    Configuration candidate = Configuration.compile(read.get());
    if (candidate.id().equals(inForceId()) || candidate.id().version() < inForceId().version()) {
      return OfferResult.KNOWN;
    }
    if (candidate.id().conflictsWith(inForceId()) && !replacesSameVersion) {
      return refuse(
          candidate.id().version(),
          ImmutableList.of(
              new ConfigurationFault(
                  "$.version", "a different document with this version is in force")));
    }
    inForce = Optional.of(candidate);
    refused = Optional.empty();
    return OfferResult.APPLIED;
  }

  private OfferResult refuse(long version, ImmutableList<ConfigurationFault> faults) {
    refused = Optional.of(new RefusedConfiguration(version, faults));
    return OfferResult.REFUSED;
  }
}
