package io.arrowarch.emulator.backend;

import java.util.Optional;

/**
 * Changes to a running emulated back end; absent fields stay as they are.
 *
 * @param wireFault how attempts are answered wrongly
 * @param drain when true, starts to drain
 * @param lieAboutDrain when true, health and replies do not show the drain
 * @param slowFraction fraction of requests that take ten times as long
 * @param publish how many snapshots to add
 */
public record BackendControl(
    Optional<WireFault> wireFault,
    Optional<Boolean> drain,
    Optional<Boolean> lieAboutDrain,
    Optional<Double> slowFraction,
    Optional<Integer> publish) {}
