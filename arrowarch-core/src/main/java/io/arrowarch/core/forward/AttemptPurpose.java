package io.arrowarch.core.forward;

import java.util.Locale;

/** Why an attempt is sent. */
enum AttemptPurpose {
  /** The first attempt of its part. */
  FIRST,
  /** A second attempt while the first one is open and slow. */
  HEDGE,
  /** An attempt after an earlier one failed or was refused. */
  RETRY;

  /** The name in logs, in lower case. */
  String logName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
