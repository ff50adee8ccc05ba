package io.arrowarch.core.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.arrowarch.core.config.ConfigurationId;
import java.util.List;
import java.util.Map;

/** The bodies of {@link PeerMessage}. */
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
   * News that rides on pings and acks.
   *
   * @param inForce the configuration that the sender holds
   * @param accepted the newest configuration that the sender knows to be accepted
   * @param store what the sender knows of the platform's store; {@link StoreNews#NONE} where it
   *     follows none
   * @param bulk whether the members are a joiner's first list rather than news to pass on
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
   * Asks whether a router is there.
   *
   * @param joining whether the sender has just started and wants to be told of many members
   */
  record Ping(long number, boolean joining, News news) implements PeerBody {}

  /** Answers a ping, or passes on that the target of a {@link PingRequest} answered one. */
  record Ack(long number, News news) implements PeerBody {}

  /** Asks a third router to ping the target and to pass its ack on. */
  record PingRequest(long number, String targetAddress) implements PeerBody {}

  /**
   * Tells the router that counts some tenants how much they have used at the sender.
   *
   * @param number rises with each message of one incarnation; repeated in the verdict
   * @param asks the tenant of which one more request wants to run; empty: of none
   */
  record TenantUse(long number, List<Use> uses, String asks) implements PeerBody {
    public TenantUse {
      uses = ImmutableList.copyOf(uses);
    }
  }

  /**
   * What one tenant has used at one router.
   *
   * @param total requests that ran or will, since the router's start
   * @param unacknowledged how many of them no counting router has acknowledged
   */
  record Use(String tenant, long total, long unacknowledged) {}

  /**
   * Answers a {@link TenantUse}.
   *
   * @param granted whether the request that was asked for may run
   * @param retryAfterMillis when it would be within the limit, if it may not
   * @param refusedMillis for how long every request of that tenant would be beyond it
   * @param limits of the tenants that were named, those near their limits
   */
  record TenantVerdict(
      long number, boolean granted, long retryAfterMillis, long refusedMillis, List<Limited> limits)
      implements PeerBody {
    public TenantVerdict {
      limits = ImmutableList.copyOf(limits);
    }
  }

  /** A tenant is near its limit: each of its requests is to be asked for, for so long. */
  record Limited(String tenant, long askMillis) {}

  /**
   * Tells of tenants near their limits.
   *
   * @param passOn whether the receiver passes it on to the routers of its zone
   */
  record TenantNotice(List<Limited> limits, boolean passOn) implements PeerBody {
    public TenantNotice {
      limits = ImmutableList.copyOf(limits);
    }
  }

  /** Tells of requests under which servers have ended, and of those that were cleared. */
  record SuspectNotice(List<SuspectReport> reports) implements PeerBody {
    public SuspectNotice {
      reports = ImmutableList.copyOf(reports);
    }
  }

  /**
   * What the sender knows of one request.
   *
   * @param request hash by which it is known again
   * @param kind ends, quarantine or clearance
   * @param servers that have ended under it; no more than make it suspected
   * @param ageMillis how long ago the newest of this happened
   */
  record SuspectReport(String request, String kind, List<String> servers, long ageMillis) {
    public SuspectReport {
      servers = ImmutableList.copyOf(servers);
    }
  }

  /** Asks for all that is held against requests; answered by {@link SuspectNotice}. */
  record SuspectQuestion() implements PeerBody {}

  /**
   * Asks a voter what configuration it holds.
   *
   * @param round repeated in the reply
   * @param recovering whether the asker is a voter that may not vote yet
   * @param held what the asker holds
   */
  record ConfirmRequest(long round, boolean recovering, ConfigurationId held) implements PeerBody {}

  /**
   * A voter's answer.
   *
   * @param askerIncarnation whose round it answers; a later incarnation numbers its rounds anew
   * @param voting whether it has recovered what earlier incarnations held and may be counted
   * @param held what it holds; never goes back within an incarnation
   * @param superseded whether it knows a later incarnation of the asker
   * @param incarnations the newest incarnations of voters that it knows; only for an asker that
   *     recovers
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

  /** Tells of a configuration that the receiver may want to ask for. */
  record VersionNotice(ConfigurationId inForce) implements PeerBody {}

  /** Asks for the configuration that the receiver holds. */
  record ConfigurationRequest() implements PeerBody {}

  /** A configuration document in canonical JSON. */
  record ConfigurationOffer(String json) implements PeerBody {}
}
