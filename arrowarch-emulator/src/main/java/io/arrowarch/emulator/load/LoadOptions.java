package io.arrowarch.emulator.load;

import com.google.common.collect.ImmutableList;
import io.arrowarch.node.SocketAddressSetting;
import java.time.Duration;

/**
 * An open-loop load: requests start at a fixed rate, whatever happens to earlier ones.
 *
 * @param targets asked in turn
 * @param rate requests per second
 * @param warmUp time at the start that is not measured
 */
public record LoadOptions(
    ImmutableList<SocketAddressSetting> targets,
    String kind,
    double rate,
    Duration length,
    Duration warmUp) {}
