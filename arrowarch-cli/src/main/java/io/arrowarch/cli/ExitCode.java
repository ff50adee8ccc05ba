package io.arrowarch.cli;

/** Exit codes of both programs. */
public enum ExitCode {
  /** Done. */
  OK(0),
  /** The document has faults, or the query got an error answer. */
  FAULTS(1),
  /** The command line is wrong, or a file or server could not be read. */
  USAGE(2);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** The number for the shell. */
  public int code() {
    return code;
  }
}
