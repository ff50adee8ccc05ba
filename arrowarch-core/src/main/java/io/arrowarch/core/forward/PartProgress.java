package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.server.ServerState;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** The state of one part of a request: a shard of a search, or the only service. */
final class PartProgress {
  private final String service;
  private final ImmutableSet<String> regions;
  private final Set<String> tried = new HashSet<>();
  private final Set<String> lostAnswerServers = new HashSet<>();
  private final List<OpenAttempt> open = new ArrayList<>();
  private Optional<ServerReply> answer = Optional.empty();
  private Optional<ServerReply> failure = Optional.empty();
  private String hedgeDenied = "";
  private boolean lost;
  private boolean delegated;
  private boolean answeredByDelegate;
  private boolean waiting;
  private int sent;
  private int possibleRuns;

  /**
   * An attempt that has not ended.
   *
   * @param startNanos when it was sent, on the router's monotonic clock
   */
  record OpenAttempt(ServerAttempt attempt, AttemptPurpose purpose, long startNanos) {}

  /**
   * Creates a part without attempts.
   *
   * @param regions the regions that its servers may be in; empty for any
   */
  PartProgress(String service, ImmutableSet<String> regions) {
    this.service = service;
    this.regions = regions;
  }

  String service() {
    return service;
  }

  ImmutableSet<String> regions() {
    return regions;
  }

  boolean hasTried(ServerState server) {
    return tried.contains(server.id());
  }

  /**
   * Records that the answer did not come whole: a connection broke, or bytes came that are no
   * answer. The server may be healthy and may run the part again, once no other attempt of the part
   * is open.
   */
  void onAnswerLost(String server) {
    lostAnswerServers.add(server);
  }

  /** Whether an answer of this server to the part was lost. */
  boolean hasLostAnswerOf(ServerState server) {
    return lostAnswerServers.contains(server.id());
  }

  List<OpenAttempt> open() {
    return open;
  }

  Optional<ServerReply> answer() {
    return answer;
  }

  /** The last error response of a server, if any. */
  Optional<ServerReply> failure() {
    return failure;
  }

  boolean isSettled() {
    return lost || isAnswered();
  }

  /**
   * Whether a server has answered it, or the router that it was delegated to has answered. Such an
   * answer may lack this part.
   */
  boolean isAnswered() {
    return answeredByDelegate || answer.isPresent();
  }

  /** Whether it is delegated to another router. */
  boolean isDelegated() {
    return delegated;
  }

  boolean isLost() {
    return lost;
  }

  boolean isWaiting() {
    return waiting && !isSettled();
  }

  int sent() {
    return sent;
  }

  /** Attempts that ran or may have run, including open ones and a delegation. */
  int possibleRuns() {
    return possibleRuns + open.size() + (delegated ? 1 : 0);
  }

  void onDelegated() {
    delegated = true;
  }

  /** Records that the other router has not run it and never will. */
  void onDeclined() {
    delegated = false;
  }

  /** Records that the other router has answered; its answer may lack this part. */
  void onAnsweredByDelegate() {
    answeredByDelegate = true;
  }

  void onWaiting() {
    waiting = true;
  }

  void onSent(OpenAttempt attempt) {
    waiting = false;
    sent++;
    tried.add(attempt.attempt().server().id());
    open.add(attempt);
  }

  void onEnded(long number, boolean mayHaveRun) {
    open.removeIf(attempt -> attempt.attempt().number() == number);
    if (mayHaveRun) {
      possibleRuns++;
    }
  }

  void onAnswer(ServerReply reply) {
    answer = Optional.of(reply);
  }

  void onServerFailure(ServerReply reply) {
    failure = Optional.of(reply);
  }

  /**
   * Records why no hedge was sent. Always returns false, so that the caller can return the result.
   */
  boolean denyHedge(String reason) {
    hedgeDenied = reason;
    return false;
  }

  void onLost() {
    lost = true;
  }

  /** Describes for operators why there is no answer yet. */
  RouterEvent.MissingPart describeMissing(long nowNanos) {
    String state = lost ? "lost" : delegated ? "delegated" : isWaiting() ? "waiting" : "open";
    ImmutableList<String> attempts =
        open.stream()
            .map(
                attempt ->
                    attempt.attempt().server().id()
                        + ' '
                        + Duration.ofNanos(nowNanos - attempt.startNanos()).toMillis())
            .collect(ImmutableList.toImmutableList());
    return new RouterEvent.MissingPart(service, state, sent, attempts, hedgeDenied);
  }
}
