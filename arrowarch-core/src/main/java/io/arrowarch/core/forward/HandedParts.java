package io.arrowarch.core.forward;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The parts of one search that other routers run, and what came of them. */
final class HandedParts implements Delegator.Listener {
  /** Routers that are asked for a group, one after the other, before it is run here. */
  private static final int DELEGATES_TO_ASK = 3;

  private final ForwardExecution execution;
  private final List<PartProgress> parts;
  private final List<Delegator.Handed> groups = new ArrayList<>();
  private final List<ForwardedAnswer.Merged> answers = new ArrayList<>();
  private int asked;

  HandedParts(ForwardExecution execution, List<PartProgress> parts) {
    this.execution = execution;
    this.parts = parts;
  }

  /** Lets a delegator choose parts and hand them on. */
  void handOn(Delegator delegator, Delegator.Search search) {
    asked++;
    for (Delegator.Handed group : delegator.handOn(search, this)) {
      groups.add(group);
      partsOf(group).forEach(PartProgress::onDelegated);
    }
  }

  /** The merged answers of other routers that are in. */
  List<ForwardedAnswer.Merged> answers() {
    return answers;
  }

  /** Makes the other routers stop. */
  void cancel() {
    groups.forEach(Delegator.Handed::cancel);
  }

  @Override
  public void onAnswered(Delegator.Handed group, ForwardedAnswer.Merged answer) {
    if (execution.isFinished()) {
      return;
    }
    answers.add(answer);
    List<PartProgress> ended = partsOf(group);
    ended.forEach(PartProgress::onAnsweredByDelegate);
    if (answer.missingParts() < ended.size()) {
      execution.monitor().onAnswered();
    }
    execution.onPartsEnded(ended.size() - answer.missingParts(), answer.missingParts());
  }

  @Override
  public void onDeclined(Delegator.Handed group) {
    if (execution.isFinished()) {
      return;
    }
    List<PartProgress> back = partsOf(group);
    groups.remove(group);
    back.forEach(PartProgress::onDeclined);
    if (asked < DELEGATES_TO_ASK) {
      execution.handOn(group.shards());
    }
    execution.startFirst(back.stream().filter(part -> !part.isDelegated()).toList());
  }

  @Override
  public void onLost(Delegator.Handed group) {
    if (execution.isFinished()) {
      return;
    }
    List<PartProgress> lost = partsOf(group);
    lost.forEach(PartProgress::onLost);
    execution.onPartsEnded(0, lost.size());
  }

  private List<PartProgress> partsOf(Delegator.Handed group) {
    Set<String> shards = new HashSet<>(group.shards());
    return parts.stream().filter(part -> shards.contains(part.service())).toList();
  }
}
