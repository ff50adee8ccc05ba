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
 * The configuration that a node holds. It only moves forward: to a higher version, or to another
 * body of the same version when a majority holds that one.
 */
public final class ConfigurationStore {
  private Optional<Configuration> inForce = Optional.empty();
  private ConfigurationId accepted = ConfigurationId.NONE;
  private Optional<RefusedConfiguration> refused = Optional.empty();

  /**
   * The newest document that was refused.
   *
   * @param version as the document says; 0 when it could not be read
   */
  public record RefusedConfiguration(long version, ImmutableList<ConfigurationFault> faults) {}

  /** What became of a document. */
  public enum Offer {
    /** It is in force now. */
    APPLIED,
    /** It is in force already, or older. */
    KNOWN,
    /** It has faults, or another body than the one in force under the same version. */
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

  /** The newest refused document; empty when a later one was applied. */
  public Optional<RefusedConfiguration> refused() {
    return refused;
  }

  /** Takes a document from the platform or a peer. */
  public Offer offer(String json) {
    return take(json, false);
  }

  /** Takes a document that a majority holds, even when another body of its version is in force. */
  public Offer offerFromMajority(String json) {
    return take(json, true);
  }

  /** Notes that a configuration is accepted. */
  public void onAccepted(ConfigurationId id) {
    if (id.version() > accepted.version()) {
      accepted = id;
    }
  }

  private Offer take(String json, boolean replacesSameVersion) {
    Either<ImmutableList<ConfigurationFault>, ConfigurationDocument> read =
        ConfigurationCodec.fromJson(json);
    if (read.isLeft()) {
      return refuse(0, read.getLeft());
    }
    Configuration candidate = Configuration.compile(read.get());
    if (candidate.id().equals(inForceId()) || candidate.id().version() < inForceId().version()) {
      return Offer.KNOWN;
    }
    if (candidate.id().conflictsWith(inForceId()) && !replacesSameVersion) {
      return refuse(
          candidate.id().version(),
          ImmutableList.of(
              new ConfigurationFault(
                  "$.version", "the version in force has this number and another body")));
    }
    inForce = Optional.of(candidate);
    refused = Optional.empty();
    return Offer.APPLIED;
  }

  private Offer refuse(long version, ImmutableList<ConfigurationFault> faults) {
    refused = Optional.of(new RefusedConfiguration(version, faults));
    return Offer.REFUSED;
  }
}
