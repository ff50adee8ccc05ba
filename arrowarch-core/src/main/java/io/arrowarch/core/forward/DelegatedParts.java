package io.arrowarch.core.forward;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The parts of one search that are delegated to other routers, and their answers. */
final class DelegatedParts implements Delegator.Listener {
  /**
   * The most rounds of delegation for one search: the first one, then one after each decline. All
   * groups of the search share these rounds. Parts that are declined after the last round are run
   * here.
   */
  private static final int MAXIMUM_ROUNDS = 3;

  private final ForwardExecution execution;
  private final List<PartProgress> parts;
  private final List<Delegator.DelegatedGroup> groups = new ArrayList<>();
  private final List<ForwardedAnswer.Merged> answers = new ArrayList<>();
  private int rounds;

  DelegatedParts(ForwardExecution execution, List<PartProgress> parts) {
    this.execution = execution;
    this.parts = parts;
  }

  /** Delegates the groups of the search that the delegator chooses. */
  void delegate(Delegator delegator, Delegator.Search search) {
    rounds++;
    for (Delegator.DelegatedGroup group : delegator.delegate(search, this)) {
      groups.add(group);
      partsOf(group).forEach(PartProgress::onDelegated);
    }
  }

  /** The merged answers received from other routers. */
  List<ForwardedAnswer.Merged> answers() {
    return answers;
  }

  /** Cancels the search on the other routers. */
  void cancel() {
    groups.forEach(Delegator.DelegatedGroup::cancel);
  }

  @Override
  public void onAnswered(Delegator.DelegatedGroup group, ForwardedAnswer.Merged answer) {
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
  public void onDeclined(Delegator.DelegatedGroup group) {
    if (execution.isFinished()) {
      return;
    }
    List<PartProgress> back = partsOf(group);
    groups.remove(group);
    back.forEach(PartProgress::onDeclined);
    if (rounds < MAXIMUM_ROUNDS) {
      execution.delegate(group.shards());
    }
    execution.startFirst(back.stream().filter(part -> !part.isDelegated()).toList());
  }

  @Override
  public void onLost(Delegator.DelegatedGroup group) {
    if (execution.isFinished()) {
      return;
    }
    List<PartProgress> lost = partsOf(group);
    lost.forEach(PartProgress::onLost);
    execution.onPartsEnded(0, lost.size());
  }

  private List<PartProgress> partsOf(Delegator.DelegatedGroup group) {
    Set<String> shards = new HashSet<>(group.shards());
    return parts.stream().filter(part -> shards.contains(part.service())).toList();
  }
}
