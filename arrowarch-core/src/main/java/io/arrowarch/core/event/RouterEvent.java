package io.arrowarch.core.event;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * A decision that touches a request, or a change of what the router believes. Names of fields are
 * stable; times are milliseconds. The list with meanings stands in docs/OPERATIONS.md.
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public sealed interface RouterEvent {
  /** The stable name in logs. */
  @JsonIgnore
  String eventName();

  /** Whether it is written before and instead of routine events when there is no room for all. */
  @JsonIgnore
  default boolean isImportant() {
    return true;
  }

  /** The request that it touches; empty for a belief. */
  default String requestId() {
    return "";
  }

  /**
   * A request got its final answer, or was cancelled by its caller.
   *
   * @param outcome answered, partial, refused, failed, cancelled
   * @param error name of the error kind; empty for a success
   * @param reason why it ended now
   * @param version of the configuration that it was handled by; 0 without one
   * @param missing parts that are not in the answer, with what was tried for them
   */
  record RequestEnded(
      String requestId,
      String route,
      long version,
      String outcome,
      String error,
      String reason,
      int partsIn,
      int partsAsked,
      int attempts,
      int extraAttempts,
      double elapsedMs,
      double leftMs,
      List<MissingPart> missing)
      implements RouterEvent {
    /** Copies the list. */
    public RequestEnded {
      missing = ImmutableList.copyOf(missing);
    }

    @Override
    public String eventName() {
      return "request";
    }

    @Override
    @JsonIgnore
    public boolean isImportant() {
      return !outcome.equals("answered");
    }
  }

  /**
   * A part that is not in an answer.
   *
   * @param state open, waiting for a connection, or lost
   * @param open attempts that had not ended, as server and age in milliseconds
   * @param sent attempts in all
   * @param hedgeDenied why there was no second attempt, when last looked at; empty: it was not
   *     wanted
   */
  record MissingPart(
      String service, String state, int sent, List<String> open, String hedgeDenied) {
    /** Copies the list. */
    public MissingPart {
      open = ImmutableList.copyOf(open);
    }
  }

  /**
   * An attempt was sent.
   *
   * @param purpose first, hedge or retry
   * @param load requests that the server was believed to hold
   * @param reportAgeMs age of its newest report; -1 without one
   * @param budgetLeft extra attempts that the service's window still allows
   */
  record AttemptSent(
      String requestId,
      long attempt,
      String purpose,
      String service,
      String server,
      double load,
      double reportAgeMs,
      double stalledMs,
      double slowness,
      double budgetLeft,
      double elapsedMs,
      double leftMs)
      implements RouterEvent {
    @Override
    public String eventName() {
      return "sent";
    }

    @Override
    @JsonIgnore
    public boolean isImportant() {
      return !purpose.equals("first");
    }
  }

  /** An attempt ended without a usable answer; {@code outcome} says how. */
  record AttemptFailed(
      String requestId,
      long attempt,
      String service,
      String server,
      String outcome,
      int status,
      double tookMs,
      String next)
      implements RouterEvent {
    @Override
    public String eventName() {
      return "attempt-failed";
    }
  }

  /**
   * Parts of a search were handed to a router nearer to their servers, and have ended there.
   *
   * @param delegate the other router, whose own line tells what it did
   * @param outcome answered, declined (they are run here), failed, lost, cancelled
   */
  record PartsDelegated(
      String requestId,
      String route,
      String delegate,
      String outcome,
      String reason,
      int parts,
      int missing,
      double tookMs)
      implements RouterEvent {
    @Override
    public String eventName() {
      return "delegated";
    }

    @Override
    @JsonIgnore
    public boolean isImportant() {
      return !outcome.equals("answered");
    }
  }

  /**
   * States of servers changed in the router's view, by one answer of the store or of another
   * router.
   *
   * @param status ready, draining, gone
   * @param count how many
   * @param servers the first of them, each as its id and its service
   */
  record ServersChanged(String status, long revision, int count, List<String> servers)
      implements RouterEvent {
    /** Copies the list. */
    public ServersChanged {
      servers = ImmutableList.copyOf(servers);
    }

    @Override
    public String eventName() {
      return "servers";
    }
  }

  /**
   * The servers of a zone get nothing from now on, or may be used again.
   *
   * @param state evacuated or returned
   */
  record ZoneChanged(String zone, String state, long revision) implements RouterEvent {
    @Override
    public String eventName() {
      return "zone";
    }
  }

  /** A configuration was taken or refused. */
  record ConfigurationChanged(
      long version, long revision, String outcome, String reason, int routes)
      implements RouterEvent {
    @Override
    public String eventName() {
      return "configuration";
    }
  }

  /** The store was lost, regained or listed anew. */
  record StoreChanged(String state, String reason, long revision, int servers)
      implements RouterEvent {
    @Override
    public String eventName() {
      return "store";
    }
  }

  /**
   * A tenant came near its limit over all routers, or is far from it again; or a router that counts
   * tenants gave no verdict.
   *
   * @param state near, released, no verdict
   * @param by the router that counts it
   * @param left requests that its limit still allows there
   */
  record TenantChanged(String tenant, String state, String by, double left) implements RouterEvent {
    @Override
    public String eventName() {
      return "tenant";
    }
  }

  /**
   * Requests with keys are served or refused from now on, by the age of the router's view.
   *
   * @param state fresh or old
   * @param ageMs of the view; -1 when it was never complete
   */
  record ViewChanged(String state, double ageMs) implements RouterEvent {
    @Override
    public String eventName() {
      return "view";
    }
  }

  /** How many routers share budgets and connections, as this one believes. */
  record RoutersChanged(int before, int now) implements RouterEvent {
    @Override
    public String eventName() {
      return "routers";
    }
  }

  /** A process starts, is ready, reloads or stops. */
  record ProcessChanged(String state, String reason, double upMs) implements RouterEvent {
    @Override
    public String eventName() {
      return "process";
    }
  }
}
