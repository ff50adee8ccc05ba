package io.arrowarch.emulator.simulation;

/** How a simulated back end answers wrongly. */
public enum ReplyFault {
  NONE,
  /** It runs the attempt and the connection breaks before the reply. */
  BROKEN,
  /** It answers with the reply to the attempt before. */
  PREVIOUS,
  /** It answers from another snapshot than asked. */
  WRONG_SNAPSHOT,
  /** It answers for another shard. */
  WRONG_SHARD
}
