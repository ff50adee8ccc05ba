package io.arrowarch.core.event;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.store.StoreRevision;
import java.util.List;

/**
 * A decision that touches a request, or a change of what the router believes. Names of fields are
 * stable; times are milliseconds. The list with meanings stands in docs/OPERATIONS.md.
 */
public sealed interface RouterEvent {
  /** The stable name in logs. */
  String eventName();

  /** Tells the fields, under their stable names. */
  void writeTo(EventFields fields);

  /** Whether it is written before and instead of routine events when there is no room for all. */
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
   * @param requestKey by which it is known again when it comes once more; empty where it was
   *     answered or not looked at
   * @param outcome answered, partial, refused, failed, cancelled
   * @param error name of the error kind; empty for a success
   * @param reason why it ended now
   * @param version of the configuration that it was handled by; 0 without one
   * @param viewAgeMs how old the view of the store was by which it was refused; -1 where it was not
   *     refused before it ran, or nothing was known
   * @param missing parts that are not in the answer, with what was tried for them
   */
  record RequestEnded(
      String requestId,
      String requestKey,
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
      double viewAgeMs,
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
    public boolean isImportant() {
      return !outcome.equals("answered");
    }

    @Override
    public void writeTo(EventFields fields) {
      fields
          .text("requestId", requestId)
          .text("requestKey", requestKey)
          .text("route", route)
          .whole("version", version)
          .text("outcome", outcome)
          .text("error", error)
          .text("reason", reason)
          .whole("partsIn", partsIn)
          .whole("partsAsked", partsAsked)
          .whole("attempts", attempts)
          .whole("extraAttempts", extraAttempts)
          .number("elapsedMs", elapsedMs)
          .number("leftMs", leftMs)
          .number("viewAgeMs", viewAgeMs)
          .objects("missing", missing, MissingPart::writeTo);
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

    void writeTo(EventFields fields) {
      fields
          .text("service", service)
          .text("state", state)
          .whole("sent", sent)
          .texts("open", open)
          .text("hedgeDenied", hedgeDenied);
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
    public boolean isImportant() {
      return !purpose.equals("first");
    }

    @Override
    public void writeTo(EventFields fields) {
      fields
          .text("requestId", requestId)
          .whole("attempt", attempt)
          .text("purpose", purpose)
          .text("service", service)
          .text("server", server)
          .number("load", load)
          .number("reportAgeMs", reportAgeMs)
          .number("stalledMs", stalledMs)
          .number("slowness", slowness)
          .number("budgetLeft", budgetLeft)
          .number("elapsedMs", elapsedMs)
          .number("leftMs", leftMs);
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

    @Override
    public void writeTo(EventFields fields) {
      fields
          .text("requestId", requestId)
          .whole("attempt", attempt)
          .text("service", service)
          .text("server", server)
          .text("outcome", outcome)
          .whole("status", status)
          .number("tookMs", tookMs)
          .text("next", next);
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
    public boolean isImportant() {
      return !outcome.equals("answered");
    }

    @Override
    public void writeTo(EventFields fields) {
      fields
          .text("requestId", requestId)
          .text("route", route)
          .text("delegate", delegate)
          .text("outcome", outcome)
          .text("reason", reason)
          .whole("parts", parts)
          .whole("missing", missing)
          .number("tookMs", tookMs);
    }
  }

  /**
   * States of servers changed in the router's view, by one answer of the store or of another
   * router.
   *
   * @param status ready, draining, gone; restarted: another process has taken the name; stale: what
   *     was read was said before what is known
   * @param count how many
   * @param servers the first of them, each as its id and its service
   */
  record ServersChanged(String status, StoreRevision revision, int count, List<String> servers)
      implements RouterEvent {
    /** Copies the list. */
    public ServersChanged {
      servers = ImmutableList.copyOf(servers);
    }

    @Override
    public String eventName() {
      return "servers";
    }

    @Override
    public void writeTo(EventFields fields) {
      fields
          .text("status", status)
          .whole("era", revision.era())
          .whole("revision", revision.number())
          .whole("count", count)
          .texts("servers", servers);
    }
  }

  /**
   * An entry of the store is not what its key is for, and names no server to use.
   *
   * @param fault one sentence, without anything that was written
   */
  record EntryMalformed(String key, StoreRevision revision, String fault) implements RouterEvent {
    /** A key may be long, and is another writer's choice. */
    private static final int LONGEST_KEY = 120;

    /** Shortens the key. */
    public EntryMalformed {
      key = key.length() > LONGEST_KEY ? key.substring(0, LONGEST_KEY) : key;
    }

    @Override
    public String eventName() {
      return "entry";
    }

    @Override
    public void writeTo(EventFields fields) {
      fields
          .text("key", key)
          .whole("era", revision.era())
          .whole("revision", revision.number())
          .text("fault", fault);
    }
  }

  /**
   * The servers of a zone get nothing from now on, or may be used again.
   *
   * @param state evacuated or returned
   */
  record ZoneChanged(String zone, String state, StoreRevision revision) implements RouterEvent {
    @Override
    public String eventName() {
      return "zone";
    }

    @Override
    public void writeTo(EventFields fields) {
      fields
          .text("zone", zone)
          .text("state", state)
          .whole("era", revision.era())
          .whole("revision", revision.number());
    }
  }

  /** A configuration was taken or refused. */
  record ConfigurationChanged(
      long version, StoreRevision revision, String outcome, String reason, int routes)
      implements RouterEvent {
    @Override
    public String eventName() {
      return "configuration";
    }

    @Override
    public void writeTo(EventFields fields) {
      fields
          .whole("version", version)
          .whole("era", revision.era())
          .whole("revision", revision.number())
          .text("outcome", outcome)
          .text("reason", reason)
          .whole("routes", routes);
    }
  }

  /**
   * The store was lost, regained or listed anew, or is followed elsewhere.
   *
   * @param reason why; for {@code follows} where changes are heard from now on
   */
  record StoreChanged(String state, String reason, StoreRevision revision, int servers)
      implements RouterEvent {
    @Override
    public String eventName() {
      return "store";
    }

    @Override
    public void writeTo(EventFields fields) {
      fields
          .text("state", state)
          .text("reason", reason)
          .whole("era", revision.era())
          .whole("revision", revision.number())
          .whole("servers", servers);
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

    @Override
    public void writeTo(EventFields fields) {
      fields.text("tenant", tenant).text("state", state).text("by", by).number("left", left);
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

    @Override
    public void writeTo(EventFields fields) {
      fields.text("state", state).number("ageMs", ageMs);
    }
  }

  /**
   * What is believed of a request that servers have ended under.
   *
   * @param requestKey first digits of the hash by which it is known again
   * @param state free, suspected, quarantined
   * @param ends servers that have ended under it, as far as they are counted
   * @param by the router whose knowledge it was
   */
  record SuspectChanged(String requestKey, String state, int ends, String by)
      implements RouterEvent {
    @Override
    public String eventName() {
      return "suspect";
    }

    @Override
    public void writeTo(EventFields fields) {
      fields.text("requestKey", requestKey).text("state", state).whole("ends", ends).text("by", by);
    }
  }

  /** How many routers share budgets and connections, as this one believes. */
  record RoutersChanged(int before, int now) implements RouterEvent {
    @Override
    public String eventName() {
      return "routers";
    }

    @Override
    public void writeTo(EventFields fields) {
      fields.whole("before", before).whole("now", now);
    }
  }

  /** A process starts, is ready, reloads or stops. */
  record ProcessChanged(String state, String reason, double upMs) implements RouterEvent {
    @Override
    public String eventName() {
      return "process";
    }

    @Override
    public void writeTo(EventFields fields) {
      fields.text("state", state).text("reason", reason).number("upMs", upMs);
    }
  }
}
