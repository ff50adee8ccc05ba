package io.arrowarch.emulator.simulation;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.wire.MachineList;

/** The platform in virtual time: a document and a list that can be down, stale or cut short. */
final class SimulatedPlatform {
  private String current;
  private String served;
  private MachineList machines = new MachineList(ImmutableList.of());
  private boolean down;
  private boolean frozen;
  private boolean truncated;

  SimulatedPlatform(String document) {
    current = document;
    served = document;
  }

  void setDocument(String document) {
    current = document;
    if (!frozen) {
      served = document;
    }
  }

  void setDown(boolean value) {
    down = value;
  }

  void setFrozen(boolean value) {
    frozen = value;
    if (!frozen) {
      served = current;
    }
  }

  void setTruncated(boolean value) {
    truncated = value;
  }

  void setMachines(MachineList list) {
    machines = list;
  }

  boolean isDown() {
    return down;
  }

  String document() {
    return truncated ? served.substring(0, served.length() / 2) : served;
  }

  MachineList machines() {
    return machines;
  }
}
