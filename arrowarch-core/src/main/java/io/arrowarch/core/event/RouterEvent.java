package io.arrowarch.core.event;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.store.StoreRevision;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * An event for operators: a decision about a request, or a change in what the router knows.
 * Operators rely on the names of events and fields, which are listed in docs/OPERATIONS.md; they
 * are stable. Times are in milliseconds.
 */
public sealed interface RouterEvent {
  /** The name of the event in logs. */
  String eventName();

  /** Writes the fields under their names in logs. */
  void writeTo(EventFields fields);

  /** Whether it takes precedence over routine events when the log cannot hold all. */
  default boolean isImportant() {
    return true;
  }

  /** The id of the request that the event is about; empty for one that is about no request. */
  default String requestId() {
    return "";
  }

  /**
   * A request got its final answer, or was cancelled by its caller.
   *
   * @param requestKey first digits of the hash that identifies the request when it is sent again;
   *     empty for a request that was answered, or whose hash was not computed
   * @param version of the configuration that applied to it; 0 without one
   * @param outcome answered, partial, refused, failed, cancelled
   * @param error name of the error kind; empty for a success
   * @param reason why it ended at this time
   * @param partsIn parts that were answered
   * @param viewAgeMs age of the view of the store by which it was refused; -1 where it was not
   *     refused before it ran, or the view was never complete
   * @param unreadMs upper bound of the time for which it waited in its socket before it was read
   * @param missing parts that are not in the answer, with the attempts made for them
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
      double unreadMs,
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
          .number("unreadMs", unreadMs)
          .objects("missing", missing, MissingPart::writeTo);
    }
  }

  /**
   * A part that is not in an answer.
   *
   * @param state open, waiting for a connection, or lost
   * @param sent attempts in total
   * @param open attempts that had not ended, as server and age in milliseconds
   * @param hedgeDenied why no hedge was sent, when last examined; empty if none was due
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
   * @param load estimated number of requests at the server
   * @param reportAgeMs age of the server's newest load report; -1 without one
   * @param budgetLeft extra attempts that the budget of the service still allows in the sliding
   *     window that ends now; may be fractional or negative
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

  /**
   * An attempt ended without a usable answer.
   *
   * @param outcome how it ended
   * @param next what followed
   */
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
    /** What follows an attempt whose request has its answer: nothing. */
    public static final String REQUEST_IS_OVER = "the request is over";

    /** A late end concerns no caller, and a search that is given up has one for each shard. */
    @Override
    public boolean isImportant() {
      return !next.equals(REQUEST_IS_OVER);
    }

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
   * A peer has sent bytes that are no response to what it was asked.
   *
   * @param peer server, feed (the store, or a router that is followed) or router
   * @param name id of the server, address of another peer
   * @param fault what is wrong with them
   * @param bytes how many came at once
   * @param excerpt the bytes in question, shortened and escaped
   */
  record MalformedResponse(String peer, String name, String fault, int bytes, String excerpt)
      implements RouterEvent {
    @Override
    public String eventName() {
      return "malformed-response";
    }

    @Override
    public void writeTo(EventFields fields) {
      fields
          .text("peer", peer)
          .text("name", name)
          .text("fault", fault)
          .whole("bytes", bytes)
          .text("excerpt", excerpt);
    }
  }

  /**
   * The delegation of parts of a search to a router nearer to their servers has ended.
   *
   * @param delegate the other router, which logs its own handling of the parts
   * @param outcome answered, declined (this router then runs the parts itself), failed, lost,
   *     cancelled
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
   * @param status ready, draining, gone; restarted: another process now has the name; stale: the
   *     entry that was read is older than the one that is known
   * @param count number of servers
   * @param age the largest time since one of the changes may have been made; empty if that is
   *     unknown
   * @param servers the first of them, each as its id and its service
   */
  record ServersChanged(
      String status,
      StoreRevision revision,
      int count,
      Optional<Duration> age,
      List<String> servers)
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
          .whole("ageMs", age.map(Duration::toMillis).orElse(-1L))
          .texts("servers", servers);
    }
  }

  /**
   * An entry of the store is malformed and is not used.
   *
   * @param fault one sentence, without any of the entry's contents
   */
  record EntryMalformed(String key, StoreRevision revision, String fault) implements RouterEvent {
    /** Keys are written by other systems and may be of any length. */
    private static final int MAXIMUM_KEY_CHARS = 120;

    /** Truncates the key. */
    public EntryMalformed {
      key = key.length() > MAXIMUM_KEY_CHARS ? key.substring(0, MAXIMUM_KEY_CHARS) : key;
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
   * The servers of a zone get no requests from now on, or may be used again.
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

  /** A configuration was accepted or refused. */
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
   * The store became unavailable, recovered or was listed again, or the source of its changes
   * switched.
   *
   * @param reason why; for {@code follows}, the new source of changes
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
   * A tenant came near its limit over all routers, or is no longer near it; or a router that counts
   * tenants gave no verdict on a message.
   *
   * @param tenant empty for a missing verdict, since a message may be about several tenants
   * @param state near, released, no verdict
   * @param by the router that counts the tenant
   * @param left requests that the limit still allows, as counted there; 0 for a missing verdict
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
   * The router's view of the store became too old to serve requests with API keys, or became fresh
   * enough again.
   *
   * @param state fresh or old
   * @param ageMs age of the view; -1 when it was never complete
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
   * A request that servers crashed while running has changed its state.
   *
   * @param requestKey first digits of the hash that identifies the request when it is sent again
   * @param state free, suspected, quarantined
   * @param ends servers that crashed while running it, as far as they are counted
   * @param by the router that reported the change
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

  /**
   * A server has ended to which a request had been sent without an outcome; this counts as a crash.
   *
   * @param requestKey first digits of the hash that identifies the request when it is sent again
   * @param sinceMs time since the request was sent to the server
   */
  record CrashAttributed(String requestKey, String server, double sinceMs) implements RouterEvent {
    @Override
    public String eventName() {
      return "crash-attributed";
    }

    @Override
    public void writeTo(EventFields fields) {
      fields.text("requestKey", requestKey).text("server", server).number("sinceMs", sinceMs);
    }
  }

  /** This router's estimate of how many routers share budgets and connections has changed. */
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

  /**
   * This process started, became ready, reloaded or is stopping.
   *
   * @param upMs time since the start of the process
   */
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

  /**
   * A turn of the event loop was long: what arrived meanwhile waited.
   *
   * @param tookMs from one poll of the sockets to the next
   * @param events number of events that were handled
   * @param longestMs the longest of them
   */
  record LongTurn(double tookMs, int events, double longestMs, int inProgress)
      implements RouterEvent {
    @Override
    public String eventName() {
      return "long-turn";
    }

    @Override
    public void writeTo(EventFields fields) {
      fields
          .number("tookMs", tookMs)
          .whole("events", events)
          .number("longestMs", longestMs)
          .whole("inProgress", inProgress);
    }
  }
}
