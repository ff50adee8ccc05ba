package io.arrowarch.cli;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.OperatingSystemMXBean;

/** How many files and sockets the system lets this process open. */
final class OpenFileLimit {
  /** Of systems that do not tell. */
  private static final int USUAL = 1_024;

  private OpenFileLimit() {}

  static int get() {
    OperatingSystemMXBean system = ManagementFactory.getOperatingSystemMXBean();
    return system instanceof UnixOperatingSystemMXBean unix
        ? (int) Math.min(Integer.MAX_VALUE, unix.getMaxFileDescriptorCount())
        : USUAL;
  }
}
