package io.arrowarch.emulator.simulation;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/**
 * The promises under sequences of faults, in virtual time on a fixed seed. jqwik prints the seed
 * and the shrunk sequence of a failure. {@link PromiseSoak} runs the same on fresh seeds.
 */
class PromiseProperties {
  private static final ImmutableList<String> ROUTERS =
      ImmutableList.of("e1", "e2", "e3", "w1", "w2", "w3", "t1");
  private static final ImmutableList<String> BACKENDS =
      ImmutableList.of("b0", "b1", "b2", "b3", "b4", "b5", "b6", "b7");

  @Property(tries = 200, seed = "20261202")
  void promisesHoldUnderFaults(@ForAll("faults") ActionChain<Scenario> chain) {
    check(chain);
  }

  static void check(ActionChain<Scenario> chain) {
    chain.run().recoverAndCheck();
  }

  @Provide
  Arbitrary<ActionChain<Scenario>> faults() {
    return chains();
  }

  static Arbitrary<ActionChain<Scenario>> chains() {
    return Arbitraries.longs().between(1, 1_000_000).flatMap(PromiseProperties::chains);
  }

  private static Arbitrary<ActionChain<Scenario>> chains(long seed) {
    return ActionChain.startWith(() -> new Scenario(seed))
        .withAction(12, queries())
        .withAction(4, resends())
        .withAction(6, pauses())
        .withAction(2, onRouter("kill router", Scenario::killRouter))
        .withAction(2, onRouter("restart router", Scenario::restartRouter))
        .withAction(2, onRouter("freeze router", Scenario::freezeRouter))
        .withAction(3, onRouter("wake router", Scenario::wakeRouter))
        .withAction(1, onRouter("stop router as planned", Scenario::stopRouter))
        .withAction(2, onBackend("kill back end", Scenario::killBackend))
        .withAction(2, onBackend("restart back end", Scenario::restartBackend))
        .withAction(2, onBackend("freeze back end", Scenario::freezeBackend))
        .withAction(2, onBackend("wake back end", Scenario::wakeBackend))
        .withAction(2, onBackend("drain back end", (s, b) -> s.drainBackend(b, false)))
        .withAction(1, onBackend("drain in secret", (s, b) -> s.drainBackend(b, true)))
        .withAction(3, replyFaults())
        .withAction(3, cuts())
        .withAction(4, isolations())
        .withAction(2, plain("heal network", s -> s.cluster().healNetwork()))
        .withAction(2, plain("disturb datagrams", Scenario::disturbDatagrams))
        .withAction(4, plain("new version", s -> s.changeConfiguration(false)))
        .withAction(2, plain("repartition", s -> s.changeConfiguration(true)))
        .withAction(2, plain("roll index", Scenario::rollSnapshot))
        .withAction(1, flag("platform down", (s, on) -> s.cluster().setPlatformDown(on)))
        .withAction(1, flag("platform stale", (s, on) -> s.cluster().setPlatformFrozen(on)))
        .withAction(1, flag("platform truncated", (s, on) -> s.cluster().setPlatformTruncated(on)))
        .withAction(1, flag("list lags", (s, on) -> s.cluster().setMachineListLagging(on)))
        .withAction(1, flag("slow replies", Scenario::setSlow))
        .withMaxTransformations(30);
  }

  private static Action<Scenario> queries() {
    return new Step(
        Arbitraries.of(ScenarioDocuments.KINDS)
            .flatMap(
                kind ->
                    Arbitraries.of(ROUTERS)
                        .map(r -> step(kind + " at " + r, s -> s.query(kind, r)))));
  }

  private static Action<Scenario> resends() {
    Arbitrary<Transformer<Scenario>> steps =
        Arbitraries.of(ROUTERS)
            .flatMap(
                first ->
                    Arbitraries.of(ROUTERS)
                        .flatMap(
                            second ->
                                Arbitraries.integers()
                                    .between(0, 400)
                                    .map(
                                        millis ->
                                            step(
                                                "purchase twice " + first + " " + second,
                                                s ->
                                                    s.purchaseTwice(
                                                        first,
                                                        second,
                                                        Duration.ofMillis(millis))))));
    return new Step(steps);
  }

  private static Action<Scenario> pauses() {
    return new Step(
        Arbitraries.of(5, 50, 500, 3_000, 6_000)
            .map(
                millis ->
                    step("wait " + millis + " ms", s -> s.advance(Duration.ofMillis(millis)))));
  }

  private static Action<Scenario> onRouter(String name, BiConsumer<Scenario, String> call) {
    return new Step(Arbitraries.of(ROUTERS).map(r -> step(name + " " + r, s -> call.accept(s, r))));
  }

  private static Action<Scenario> onBackend(String name, BiConsumer<Scenario, String> call) {
    return new Step(
        Arbitraries.of(BACKENDS).map(b -> step(name + " " + b, s -> call.accept(s, b))));
  }

  private static Action<Scenario> isolations() {
    Arbitrary<Boolean> platformToo = Arbitraries.of(true, false);
    Arbitrary<Transformer<Scenario>> zones =
        Arbitraries.of("east", "west", "tiny")
            .flatMap(
                zone ->
                    platformToo.map(
                        too ->
                            step(
                                "isolate zone " + zone + " platform " + too,
                                s -> s.isolateZone(zone, too))));
    Arbitrary<Transformer<Scenario>> routers =
        Arbitraries.of(ROUTERS)
            .flatMap(
                router ->
                    platformToo.map(
                        too ->
                            step(
                                "isolate router " + router + " platform " + too,
                                s -> s.isolateRouter(router, too))));
    return new Step(Arbitraries.oneOf(zones, routers));
  }

  private static Action<Scenario> replyFaults() {
    return new Step(
        Arbitraries.of(BACKENDS)
            .flatMap(
                b ->
                    Arbitraries.of(ReplyFault.values())
                        .map(
                            fault ->
                                step(
                                    "reply fault " + b + " " + fault,
                                    s -> s.cluster().setReplyFault(b, fault)))));
  }

  private static Action<Scenario> cuts() {
    ImmutableList<String> hosts =
        ImmutableList.<String>builder().addAll(ROUTERS).addAll(BACKENDS).add("platform").build();
    return new Step(
        Arbitraries.of(hosts)
            .flatMap(
                from ->
                    Arbitraries.of(hosts)
                        .map(
                            to ->
                                step(
                                    "cut " + from + " to " + to, s -> s.cluster().cut(from, to)))));
  }

  private static Action<Scenario> plain(String name, Consumer<Scenario> call) {
    return new Step(Arbitraries.just(step(name, call)));
  }

  private static Action<Scenario> flag(String name, BiConsumer<Scenario, Boolean> call) {
    return new Step(
        Arbitraries.of(true, false).map(on -> step(name + " " + on, s -> call.accept(s, on))));
  }

  private static Transformer<Scenario> step(String name, Consumer<Scenario> call) {
    return Transformer.mutate(name, call);
  }

  /** An action that is always possible. */
  private static final class Step implements Action.Independent<Scenario> {
    private final Arbitrary<Transformer<Scenario>> transformers;

    Step(Arbitrary<Transformer<Scenario>> transformers) {
      this.transformers = transformers;
    }

    @Override
    public Arbitrary<Transformer<Scenario>> transformer() {
      return transformers;
    }
  }
}
