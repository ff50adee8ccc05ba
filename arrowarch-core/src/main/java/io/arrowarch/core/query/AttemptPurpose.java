package io.arrowarch.core.query;

/** Why an attempt is made. */
enum AttemptPurpose {
  /** The first attempt for its shard. */
  FIRST,
  /** An additional attempt while an outstanding one is slow. */
  HEDGE,
  /** A new attempt after an earlier one failed or was refused. */
  RETRY
}
