package io.arrowarch.core.router;

/**
 * Sends requests to the platform. Responses are delivered through {@link
 * RouterCore#onPlatformConfiguration} and {@link RouterCore#onMachineList}; failures are not
 * reported.
 */
public interface PlatformTransport {
  /** Requests the configuration document. */
  void fetchConfiguration();

  /** Requests the list of live and leaving machines. */
  void fetchMachineList();
}
