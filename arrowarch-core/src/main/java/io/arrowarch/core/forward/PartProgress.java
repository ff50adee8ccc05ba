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

/** What has been done for one part of a request: a shard of a search, or the only service. */
final class PartProgress {
  private final String service;
  private final ImmutableSet<String> regions;
  private final Set<String> tried = new HashSet<>();
  private final Set<String> answersLost = new HashSet<>();
  private final List<OpenAttempt> open = new ArrayList<>();
  private Optional<ServerReply> answer = Optional.empty();
  private Optional<ServerReply> failure = Optional.empty();
  private String hedgeDenied = "";
  private boolean lost;
  private boolean handedOn;
  private boolean answeredElsewhere;
  private boolean waiting;
  private int sent;
  private int maybeRun;

  /** An attempt that has not ended. */
  record OpenAttempt(ServerAttempt attempt, AttemptPurpose purpose, long startNanos) {}

  /**
   * Creates a part for which nothing has been done.
   *
   * @param regions where its servers must be; empty where any will do
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

  /** A server's connection broke before its answer was whole: it may run the part and be sound. */
  void onAnswerLost(String server) {
    answersLost.add(server);
  }

  /** Whether a server has lost its answer to this part, and the part runs nowhere else now. */
  boolean mayAskAgain(ServerState server) {
    return answersLost.contains(server.id());
  }

  List<OpenAttempt> open() {
    return open;
  }

  Optional<ServerReply> answer() {
    return answer;
  }

  /** The last failure that a server answered, if any. */
  Optional<ServerReply> failure() {
    return failure;
  }

  boolean isSettled() {
    return lost || isAnswered();
  }

  /** Whether its answer is in, or that of the router that it was handed to. */
  boolean isAnswered() {
    return answeredElsewhere || answer.isPresent();
  }

  /** Whether another router runs it. */
  boolean isHandedOn() {
    return handedOn;
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

  /** Attempts that ran or may have run, open ones included. */
  int maybeRun() {
    return maybeRun + open.size() + (handedOn ? 1 : 0);
  }

  void onHandedOn() {
    handedOn = true;
  }

  /** The other router has not run it and never will. */
  void onTakenBack() {
    handedOn = false;
  }

  /** The other router has answered for it, with or without it. */
  void onAnsweredElsewhere() {
    answeredElsewhere = true;
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
      maybeRun++;
    }
  }

  void onAnswer(ServerReply reply) {
    answer = Optional.of(reply);
  }

  void onServerFailure(ServerReply reply) {
    failure = Optional.of(reply);
  }

  /** Notes why there is no second attempt; always false. */
  boolean denyHedge(String reason) {
    hedgeDenied = reason;
    return false;
  }

  void onLost() {
    lost = true;
  }

  /** For operators: why there is no answer yet. */
  RouterEvent.MissingPart describeMissing(long nowNanos) {
    String state = lost ? "lost" : handedOn ? "delegated" : isWaiting() ? "waiting" : "open";
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
