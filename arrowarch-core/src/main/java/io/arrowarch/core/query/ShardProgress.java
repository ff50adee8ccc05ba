package io.arrowarch.core.query;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.replica.ReplicaState;
import io.arrowarch.core.topology.Layout.Shard;
import io.arrowarch.core.wire.BackendReply;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** The progress of one shard within one plan of a query. */
final class ShardProgress {
  private final QueryExecution execution;
  private final Shard shard;
  private final ImmutableList<ReplicaState> candidates;
  private final Set<String> triedBackends = new HashSet<>();
  private final List<OutstandingAttempt> outstanding = new ArrayList<>();
  private Optional<BackendReply> reply = Optional.empty();
  private boolean lost;
  private boolean waiting;
  private AttemptPurpose waitingPurpose = AttemptPurpose.FIRST;
  private boolean hedged;
  private int attempts;

  ShardProgress(QueryExecution execution, Shard shard, ImmutableList<ReplicaState> candidates) {
    this.execution = execution;
    this.shard = shard;
    this.candidates = candidates;
    this.lost = candidates.isEmpty();
  }

  QueryExecution execution() {
    return execution;
  }

  Shard shard() {
    return shard;
  }

  ImmutableList<ReplicaState> candidates() {
    return candidates;
  }

  /** Candidates to which no attempt of this plan has been sent since the last backoff. */
  ImmutableList<ReplicaState> untried() {
    return candidates.stream()
        .filter(candidate -> !triedBackends.contains(candidate.backend().id()))
        .collect(ImmutableList.toImmutableList());
  }

  List<OutstandingAttempt> outstanding() {
    return outstanding;
  }

  int attempts() {
    return attempts;
  }

  Optional<BackendReply> reply() {
    return reply;
  }

  boolean isAnswered() {
    return reply.isPresent();
  }

  boolean isLost() {
    return lost;
  }

  boolean isSettled() {
    return lost || reply.isPresent();
  }

  boolean isWaiting() {
    return waiting && !isSettled();
  }

  boolean isHedged() {
    return hedged;
  }

  void onQueued(AttemptPurpose purpose) {
    waiting = true;
    waitingPurpose = purpose;
  }

  /** The purpose of the attempt that waits for room. */
  AttemptPurpose waitingPurpose() {
    return waitingPurpose;
  }

  void onAttemptStarted(OutstandingAttempt attempt, AttemptPurpose purpose) {
    waiting = false;
    hedged |= purpose == AttemptPurpose.HEDGE;
    attempts++;
    triedBackends.add(attempt.attempt().backend().id());
    outstanding.add(attempt);
  }

  void onAttemptEnded(OutstandingAttempt attempt) {
    outstanding.remove(attempt);
  }

  /** Allows every candidate to be tried again, for a retry after a backoff. */
  void clearTriedBackends() {
    triedBackends.clear();
  }

  void onAnswered(BackendReply answer) {
    reply = Optional.of(answer);
  }

  void onLost() {
    lost = true;
  }
}
