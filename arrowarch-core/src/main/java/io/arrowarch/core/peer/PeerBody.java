package io.arrowarch.core.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.arrowarch.core.config.ConfigurationId;
import java.util.List;
import java.util.Map;

/** The body of a {@link PeerMessage}, one record per message type. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = PeerBody.Ping.class, name = "ping"),
  @JsonSubTypes.Type(value = PeerBody.Ack.class, name = "ack"),
  @JsonSubTypes.Type(value = PeerBody.PingRequest.class, name = "ping-request"),
  @JsonSubTypes.Type(value = PeerBody.TenantUse.class, name = "tenant-use"),
  @JsonSubTypes.Type(value = PeerBody.TenantVerdict.class, name = "tenant-verdict"),
  @JsonSubTypes.Type(value = PeerBody.TenantNotice.class, name = "tenant-notice"),
  @JsonSubTypes.Type(value = PeerBody.SuspectNotice.class, name = "suspect-notice"),
  @JsonSubTypes.Type(value = PeerBody.SuspectQuestion.class, name = "suspect-question"),
  @JsonSubTypes.Type(value = PeerBody.ConfirmRequest.class, name = "confirm-request"),
  @JsonSubTypes.Type(value = PeerBody.ConfirmReply.class, name = "confirm-reply"),
  @JsonSubTypes.Type(value = PeerBody.VersionNotice.class, name = "version-notice"),
  @JsonSubTypes.Type(value = PeerBody.ConfigurationRequest.class, name = "configuration-request"),
  @JsonSubTypes.Type(value = PeerBody.ConfigurationOffer.class, name = "configuration-offer")
})
public sealed interface PeerBody {

  /**
   * Gossip that is piggybacked on pings and acks.
   *
   * @param inForce the configuration that the sender holds
   * @param accepted the newest configuration that the sender knows to be accepted
   * @param store the state of the sender's view of the platform's store; {@link StoreNews#NONE}
   *     where it follows none
   * @param bulk whether the members are a first list for a joining router; the receiver does not
   *     pass such a list on
   */
  record News(
      ConfigurationId inForce,
      ConfigurationId accepted,
      StoreNews store,
      boolean bulk,
      List<MemberRecord> members,
      List<DrainMark> drains) {
    public News {
      members = ImmutableList.copyOf(members);
      drains = ImmutableList.copyOf(drains);
    }
  }

  /**
   * Asks whether a router is alive.
   *
   * @param number returned in the ack
   * @param joining whether the sender has recently started and asks for a bulk list of members
   */
  record Ping(long number, boolean joining, News news) implements PeerBody {}

  /** Answers a {@link Ping}, or a {@link PingRequest} whose target has answered. */
  record Ack(long number, News news) implements PeerBody {}

  /** Asks another router to ping the target and to answer when the target has. */
  record PingRequest(long number, String targetAddress) implements PeerBody {}

  /**
   * Reports the usage of tenants at the sender to the router that counts these tenants.
   *
   * @param number rises with each message of one incarnation; returned in the verdict
   * @param asks the tenant for which the sender asks whether one more request may run; empty for
   *     none
   */
  record TenantUse(long number, List<Use> uses, String asks) implements PeerBody {
    public TenantUse {
      uses = ImmutableList.copyOf(uses);
    }
  }

  /**
   * The usage of one tenant at one router.
   *
   * @param total requests admitted and not refunded since the start of the router
   * @param unacknowledged how many of them no counting router has acknowledged
   */
  record Use(String tenant, long total, long unacknowledged) {}

  /**
   * Answers a {@link TenantUse}.
   *
   * @param granted whether the request that was asked about may run; also true if none was asked
   *     about
   * @param retryAfterMillis after how long it would be within the limit, if it may not run
   * @param refusedMillis for how long every request of that tenant exceeds the limit
   * @param limits those of the reported tenants that are near their limits
   */
  record TenantVerdict(
      long number, boolean granted, long retryAfterMillis, long refusedMillis, List<Limited> limits)
      implements PeerBody {
    public TenantVerdict {
      limits = ImmutableList.copyOf(limits);
    }
  }

  /**
   * A tenant that is near its limit.
   *
   * @param askMillis for how long a router must ask the counting router before it runs a request of
   *     this tenant
   */
  record Limited(String tenant, long askMillis) {}

  /**
   * Lists tenants that are near their limits.
   *
   * @param passOn whether the receiver forwards it to the routers of its zone
   */
  record TenantNotice(List<Limited> limits, boolean passOn) implements PeerBody {
    public TenantNotice {
      limits = ImmutableList.copyOf(limits);
    }
  }

  /** Reports requests that servers crashed while running, and requests that were cleared. */
  record SuspectNotice(List<SuspectReport> reports) implements PeerBody {
    public SuspectNotice {
      reports = ImmutableList.copyOf(reports);
    }
  }

  /**
   * What the sender knows of one request.
   *
   * @param request hash that identifies the request when it is sent again
   * @param kind ends, quarantine or clearance
   * @param servers that crashed while running it; as many as make it suspected, or a few more if
   *     canaries crashed servers
   * @param ageMillis time since the request was last sent to one of these servers, or since the
   *     quarantine or clearance
   */
  record SuspectReport(String request, String kind, List<String> servers, long ageMillis) {
    public SuspectReport {
      servers = ImmutableList.copyOf(servers);
    }
  }

  /**
   * Asks for the suspected requests that the receiver knows, of which it reports a limited number;
   * answered by {@link SuspectNotice}.
   */
  record SuspectQuestion() implements PeerBody {}

  /**
   * Asks a voter what configuration it holds.
   *
   * @param round returned in the reply
   * @param recovering whether the asker is a voter that may not vote yet
   * @param held what the asker holds
   */
  record ConfirmRequest(long round, boolean recovering, ConfigurationId held) implements PeerBody {}

  /**
   * A voter's answer.
   *
   * @param askerIncarnation incarnation of the asker that sent the request; each incarnation
   *     numbers its rounds anew
   * @param voting whether it has recovered the configuration that its earlier incarnations held, so
   *     that its vote counts
   * @param held the configuration it holds; never an older one than before within an incarnation
   * @param accepted the newest configuration that it knows to be accepted
   * @param superseded whether it knows a later incarnation of the asker
   * @param incarnations the newest incarnations of voters that it knows, by voter id; empty unless
   *     the asker is recovering
   */
  record ConfirmReply(
      long askerIncarnation,
      long round,
      boolean voting,
      ConfigurationId held,
      ConfigurationId accepted,
      boolean superseded,
      Map<String, Long> incarnations)
      implements PeerBody {
    public ConfirmReply {
      incarnations = ImmutableMap.copyOf(incarnations);
    }
  }

  /** Announces the configuration that the sender holds, so that the receiver can ask for it. */
  record VersionNotice(ConfigurationId inForce) implements PeerBody {}

  /** Asks for the configuration that the receiver holds. */
  record ConfigurationRequest() implements PeerBody {}

  /** A configuration document in canonical JSON. */
  record ConfigurationOffer(String json) implements PeerBody {}
}
