package io.arrowarch.cli;

/** A command cannot be carried out; the message is a sentence for the user. */
final class CommandException extends Exception {
  private static final long serialVersionUID = 1;

  CommandException(String message) {
    super(message);
  }

  CommandException(String message, Throwable cause) {
    super(message, cause);
  }
}
