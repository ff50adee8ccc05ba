package io.arrowarch.core.config;

import static java.util.Objects.requireNonNull;

/**
 * A fault in a document.
 *
 * @param path JSON path of the faulty element, for example {@code $.kinds[2].layout}
 * @param message what is wrong
 */
public record ConfigurationFault(String path, String message) {
  public ConfigurationFault {
    requireNonNull(path, "path is null");
    requireNonNull(message, "message is null");
  }

  @Override
  public String toString() {
    return path + ": " + message;
  }
}
