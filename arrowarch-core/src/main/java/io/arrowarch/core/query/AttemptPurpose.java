package io.arrowarch.core.query;

/** Why an attempt is made. */
enum AttemptPurpose {
  /** The first for its shard. */
  FIRST,
  /** Beside an outstanding one that is slow. */
  HEDGE,
  /** After an earlier one failed or was refused. */
  RETRY
}
