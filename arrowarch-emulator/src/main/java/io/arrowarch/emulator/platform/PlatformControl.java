package io.arrowarch.emulator.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.arrowarch.core.wire.MachineList;
import java.util.Optional;

/**
 * Changes to a running platform stand-in; absent fields stay as they are.
 *
 * @param configuration the document to serve from now on
 * @param machines the list to serve from now on
 * @param down whether every request is answered by status 503
 * @param frozen whether the document served stays the present one, whatever is set
 * @param truncated whether documents are cut in half
 */
public record PlatformControl(
    Optional<JsonNode> configuration,
    Optional<MachineList> machines,
    Optional<Boolean> down,
    Optional<Boolean> frozen,
    Optional<Boolean> truncated) {}
