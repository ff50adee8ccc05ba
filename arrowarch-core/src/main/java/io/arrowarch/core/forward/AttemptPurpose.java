package io.arrowarch.core.forward;

import java.util.Locale;

/** Why an attempt is made. */
enum AttemptPurpose {
  /** The first for its part. */
  FIRST,
  /** Beside an open one that is slow. */
  HEDGE,
  /** After an earlier one failed or was refused. */
  RETRY;

  /** The name in logs. */
  String logName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
