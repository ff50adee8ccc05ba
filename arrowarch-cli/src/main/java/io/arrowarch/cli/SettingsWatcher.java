package io.arrowarch.cli;

import java.io.File;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

/** Notices that a settings file has changed: by SIGHUP, or by the file's own time and length. */
final class SettingsWatcher {
  private static final Duration INTERVAL = Duration.ofSeconds(2);

  private final File file;
  private final Runnable onChange;
  private long seenModified;
  private long seenLength;

  private SettingsWatcher(File file, Runnable onChange) {
    this.file = file;
    this.onChange = onChange;
    this.seenModified = file.lastModified();
    this.seenLength = file.length();
  }

  /** Starts to watch; {@code onChange} runs on threads of this class. */
  static void start(File file, Runnable onChange) {
    SettingsWatcher watcher = new SettingsWatcher(file, onChange);
    HangUpSignal.handle(watcher::onSignal);
    Thread thread = new Thread(watcher::watch, "settings");
    thread.setDaemon(true);
    thread.start();
  }

  private synchronized void onSignal() {
    seenModified = file.lastModified();
    seenLength = file.length();
    onChange.run();
  }

  private void watch() {
    while (true) {
      LockSupport.parkNanos(INTERVAL.toNanos());
      checkFile();
    }
  }

  private synchronized void checkFile() {
    boolean changed = file.lastModified() != seenModified || file.length() != seenLength;
    if (changed) {
      onSignal();
    }
  }
}
