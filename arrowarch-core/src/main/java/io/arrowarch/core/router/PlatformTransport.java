package io.arrowarch.core.router;

/**
 * Asks the platform; answers come back through {@link RouterCore#onPlatformConfiguration} and
 * {@link RouterCore#onMachineList}. A request that fails is not reported.
 */
public interface PlatformTransport {
  /** Asks for the configuration document. */
  void fetchConfiguration();

  /** Asks for the list of live and leaving machines. */
  void fetchMachineList();
}
