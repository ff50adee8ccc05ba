package io.arrowarch.node.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.Iterables;
import io.arrowarch.node.http.SoundResponses.Answer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.testng.annotations.Test;

/** All places at which a surplus answer can stop, and all packets a sound one can come in. */
public final class ResponseGuardTest {
  private static final String FIRST =
      "HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: 2\r\n\r\nok";
  private static final String ID_OF_NEXT = "X-Id: next";

  /** Where the bytes of a surplus answer stand among the packets of the next answer. */
  private interface Arrival {
    void play(GuardedChannel channel, String surplus, Answer next);
  }

  /** How often something was tried, and what was wrong. */
  private static final class Tally {
    private final String name;
    private final List<String> wrong = new ArrayList<>();
    private int cases;
    private int answered;

    Tally(String name) {
      this.name = name;
    }

    void add(boolean gotAnswer, Optional<String> fault) {
      cases++;
      answered += gotAnswer ? 1 : 0;
      fault.ifPresent(wrong::add);
    }

    void verify() {
      System.out.printf(
          "%s: %d cases, %d answered, %d wrong%n", name, cases, answered, wrong.size());
      assertThat(wrong).isEmpty();
    }
  }

  private static void playAfterFirst(
      Tally tally, Arrival arrival, String surplus, Answer whole, Answer next) {
    GuardedChannel channel = new GuardedChannel();
    channel.request("GET");
    arrival.play(channel, surplus, next);
    channel.endByPeer();
    List<ReceivedResponse> received = channel.whole();
    boolean first = !received.isEmpty() && received.get(0).body().equals("ok");
    List<ReceivedResponse> later = received.subList(first ? 1 : 0, received.size());
    boolean mixed = !first || later.stream().anyMatch(got -> isMix(got, whole, next));
    boolean gotNext = later.stream().anyMatch(got -> got.fields().contains(ID_OF_NEXT));
    tally.add(
        gotNext,
        mixed ? Optional.of(surplus + " | " + next.bytes() + " -> " + received) : Optional.empty());
  }

  /** A response under the next one's id must be that one, and any other have the surplus head. */
  private static boolean isMix(ReceivedResponse got, Answer surplus, Answer next) {
    if (got.fields().contains(ID_OF_NEXT)) {
      return !Optional.of(got)
          .equals(ReferenceParser.parse(next.bytes(), next.method()).response());
    }
    ReceivedResponse whole = ReferenceParser.parse(surplus.bytes(), "GET").response().orElseThrow();
    return got.status() != whole.status() || !got.fields().equals(whole.fields());
  }

  private static void playAllCuts(String name, List<Answer> surplusAnswers, Arrival arrival) {
    Tally tally = new Tally(name);
    for (Answer surplus : surplusAnswers) {
      if (surplus.method().equals("GET")) {
        playCutsOf(tally, arrival, surplus);
      }
    }
    tally.verify();
  }

  private static void playCutsOf(Tally tally, Arrival arrival, Answer surplus) {
    for (Answer next : NEXT) {
      for (int cut = 1; cut <= surplus.bytes().length(); cut++) {
        playAfterFirst(tally, arrival, surplus.bytes().substring(0, cut), surplus, next);
      }
    }
  }

  private static final List<Answer> NEXT =
      SoundResponses.inOneOrder("next").stream()
          .filter(answer -> answer.method().equals("GET"))
          .filter(
              answer ->
                  answer.bytes().contains(" 500 ") || answer.bytes().startsWith("HTTP/1.1 200"))
          .toList();

  /** Bytes that come while the connection rests are taken for the start of the next answer. */
  @Test
  public void surplusAnswerWhileIdleIsNotJoinedWithTheNext() {
    playAllCuts(
        "while idle",
        SoundResponses.inAllOrders("first"),
        (channel, surplus, next) -> {
          channel.receive(FIRST);
          channel.receive(surplus);
          channel.request(next.method());
          channel.receive(next.bytes());
        });
  }

  /** Bytes behind an answer are kept for the next one. */
  @Test
  public void surplusAnswerInThePacketBeforeIsNotJoinedWithTheNext() {
    playAllCuts(
        "with the answer before",
        SoundResponses.inAllOrders("first"),
        (channel, surplus, next) -> {
          channel.receive(FIRST + surplus);
          channel.request(next.method());
          channel.receive(next.bytes());
        });
  }

  /** A surplus answer stops while the next one is due, which then comes in a packet of its own. */
  @Test
  public void surplusAnswerAheadOfTheNextIsNotJoinedWithIt() {
    playAllCuts(
        "after the request",
        SoundResponses.inAllOrders("first"),
        (channel, surplus, next) -> {
          channel.receive(FIRST);
          channel.request(next.method());
          channel.receive(surplus);
          channel.receive(next.bytes());
        });
  }

  /** A surplus answer stops in the very packet in which the next one begins. */
  @Test
  public void surplusAnswerInOnePacketWithTheNextIsNotJoinedWithIt() {
    playAllCuts(
        "in one packet",
        SoundResponses.inAllOrders("first"),
        (channel, surplus, next) -> {
          channel.receive(FIRST);
          channel.request(next.method());
          channel.receive(surplus + next.bytes());
        });
  }

  /** The first part of the next answer is judged without the rest. */
  @Test
  public void surplusAnswerIsNotJoinedWithTheNextWhereverThatIsSplit() {
    Tally tally = new Tally("next answer split");
    Answer next = NEXT.get(1);
    List<Answer> surplusAnswers =
        SoundResponses.inOneOrder("first").stream()
            .filter(answer -> answer.method().equals("GET"))
            .toList();
    for (Answer surplus : surplusAnswers) {
      for (int cut = 1; cut <= surplus.bytes().length(); cut++) {
        playAllSplits(tally, surplus, surplus.bytes().substring(0, cut), next);
      }
    }
    tally.verify();
  }

  private static void playAllSplits(Tally tally, Answer surplus, String torn, Answer next) {
    for (int split = 1; split < next.bytes().length(); split++) {
      int at = split;
      Arrival arrival =
          (channel, bytes, answer) -> {
            channel.receive(FIRST);
            channel.request(answer.method());
            channel.receive(bytes + answer.bytes().substring(0, at));
            channel.receive(answer.bytes().substring(at));
          };
      playAfterFirst(tally, arrival, torn, surplus, next);
    }
  }

  /** A surplus answer stops within its head, and the connection ends. */
  @Test
  public void answerThatStopsIsNotWhole() {
    Tally tally = new Tally("stops and ends");
    for (Answer answer : SoundResponses.inAllOrders("next")) {
      for (int cut = 0; cut <= answer.bytes().length(); cut++) {
        String torn = answer.bytes().substring(0, cut);
        List<ReceivedResponse> got = receive(answer.method(), channel -> channel.receive(torn));
        Optional<ReceivedResponse> expected =
            ReferenceParser.parse(torn, answer.method()).response();
        tally.add(
            !got.isEmpty(),
            got.equals(expected.stream().toList())
                ? Optional.empty()
                : Optional.of(torn + " -> " + got));
      }
    }
    tally.verify();
  }

  private static List<ReceivedResponse> receive(String method, Consumer<GuardedChannel> packets) {
    GuardedChannel channel = new GuardedChannel();
    channel.request(method);
    packets.accept(channel);
    channel.endByPeer();
    return channel.whole();
  }

  /** A sound answer is refused because of the packets that it comes in. */
  @Test
  public void soundAnswersPassInAnyTwoPackets() {
    Tally tally = new Tally("sound in two packets");
    for (Answer answer : SoundResponses.inAllOrders("next")) {
      for (int split = 0; split < answer.bytes().length(); split++) {
        String start = answer.bytes().substring(0, split);
        String rest = answer.bytes().substring(split);
        verifySound(
            tally,
            answer,
            channel -> {
              channel.receive(start);
              channel.receive(rest);
            });
      }
    }
    tally.verify();
  }

  /** A sound answer is refused when each of its bytes is a packet. */
  @Test
  public void soundAnswersPassByteByByte() {
    Tally tally = new Tally("sound byte by byte");
    for (Answer answer : SoundResponses.inAllOrders("next")) {
      verifySound(
          tally,
          answer,
          channel -> answer.bytes().chars().forEach(c -> channel.receive("" + (char) c)));
    }
    tally.verify();
  }

  private static void verifySound(Tally tally, Answer answer, Consumer<GuardedChannel> packets) {
    GuardedChannel channel = new GuardedChannel();
    channel.request("GET");
    channel.receive(FIRST);
    channel.request(answer.method());
    packets.accept(channel);
    boolean refused = channel.hasEnded();
    channel.endByPeer();
    ReceivedResponse expected =
        ReferenceParser.parse(answer.bytes(), answer.method()).response().orElseThrow();
    boolean same =
        channel.whole().size() == 2
            && Iterables.getLast(channel.whole()).equals(expected)
            && channel.fault().isEmpty();
    tally.add(
        same, refused || !same ? Optional.of(answer + " -> " + channel.whole()) : Optional.empty());
  }
}
