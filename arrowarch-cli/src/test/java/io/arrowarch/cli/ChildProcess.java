package io.arrowarch.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One of our programs as a real process, with signals. */
final class ChildProcess implements AutoCloseable {
  private static final long STOP_SECONDS = 90;
  private static final List<String> JAVA_OPTIONS =
      List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx128m");

  private final Process process;
  private final Path log;

  private ChildProcess(Process process, Path log) {
    this.process = process;
    this.log = log;
  }

  static ChildProcess start(Path directory, String name, Class<?> main, String... arguments) {
    return start(directory, name, JAVA_OPTIONS, main, arguments);
  }

  static ChildProcess start(
      Path directory, String name, List<String> javaOptions, Class<?> main, String... arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(javaOptions);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), main.getName()));
    command.addAll(List.of(arguments));
    Path log = directory.resolve(name + "-" + System.nanoTime() + ".log");
    try {
      Process process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(log.toFile())
              .start();
      return new ChildProcess(process, log);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void kill() {
    process.destroyForcibly();
    awaitExit();
  }

  /** SIGSTOP: the process sleeps and still believes what it believes. */
  void freeze() {
    signal("STOP");
  }

  /** SIGCONT. */
  void wake() {
    signal("CONT");
  }

  /** SIGTERM: a planned stop. */
  void terminate() {
    process.destroy();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  int awaitExit() {
    try {
      if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
        throw new IllegalStateException("process does not exit:\n" + output());
      }
      return process.exitValue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  String output() {
    try {
      return Files.readString(log);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    wake();
    kill();
  }

  private void signal(String name) {
    try {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
