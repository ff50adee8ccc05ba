package io.arrowarch.core.query;

/** Counters since the router started, for metrics. Used on the router's own thread only. */
public final class QueryCounters {
  private long queries;
  private long answers;
  private long partialAnswers;
  private long errors;
  private long firstAttempts;
  private long hedges;
  private long retries;
  private long replans;
  private long lateReplies;
  private long invalidReplies;

  void onQuery() {
    queries++;
  }

  void onAnswer(boolean partial) {
    answers++;
    if (partial) {
      partialAnswers++;
    }
  }

  void onError() {
    errors++;
  }

  void onAttempt(AttemptPurpose purpose) {
    switch (purpose) {
      case FIRST -> firstAttempts++;
      case HEDGE -> hedges++;
      case RETRY -> retries++;
    }
  }

  void onReplan() {
    replans++;
  }

  void onLateReply() {
    lateReplies++;
  }

  void onInvalidReply() {
    invalidReplies++;
  }

  /** Queries submitted. */
  public long queries() {
    return queries;
  }

  /** Queries answered, partial answers included. */
  public long answers() {
    return answers;
  }

  /** Answers with coverage below 1. */
  public long partialAnswers() {
    return partialAnswers;
  }

  /** Queries that ended with an error. */
  public long errors() {
    return errors;
  }

  /** Attempts that were the first for their shard. */
  public long firstAttempts() {
    return firstAttempts;
  }

  /** Attempts started while an earlier one for the shard was slow. */
  public long hedges() {
    return hedges;
  }

  /** Attempts started after an earlier one failed or was refused. */
  public long retries() {
    return retries;
  }

  /** Queries planned again because their snapshot was gone. */
  public long replans() {
    return replans;
  }

  /** Replies to attempts that were no longer outstanding. */
  public long lateReplies() {
    return lateReplies;
  }

  /** Replies that named another attempt, shard, layout or snapshot than the request. */
  public long invalidReplies() {
    return invalidReplies;
  }
}
