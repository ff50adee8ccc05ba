package io.arrowarch.node.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Bytes that break one rule of the grammar each, and bytes at the limit of what is allowed. */
public final class ResponseRulesTest {
  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String EMPTY = "Content-Length: 0\r\n\r\n";
  private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final String INTERIM = "HTTP/1.1 100 Continue\r\n\r\n";
  private static final int MAXIMUM_INTERIM = 8;

  @DataProvider
  public Object[][] malformedHeads() {
    return new Object[][] {
      {"X-Own: a\r\n" + EMPTY, ResponseFault.STATUS_LINE},
      {"HTTP/2.0 200 OK\r\n" + EMPTY, ResponseFault.STATUS_LINE},
      {"HTTP/1.2 200 OK\r\n" + EMPTY, ResponseFault.STATUS_LINE},
      {"http/1.1 200 OK\r\n" + EMPTY, ResponseFault.STATUS_LINE},
      {" HTTP/1.1 200 OK\r\n" + EMPTY, ResponseFault.STATUS_LINE},
      {"\r\nHTTP/1.1 200 OK\r\n" + EMPTY, ResponseFault.STATUS_LINE},
      {"HTTP/1.1  200 OK\r\n" + EMPTY, ResponseFault.STATUS_LINE},
      {"HTTP/1.1\t200 OK\r\n" + EMPTY, ResponseFault.STATUS_LINE},
      {"HTTP/1.1 20 OK\r\n" + EMPTY, ResponseFault.STATUS_LINE},
      {"HTTP/1.1 2000 OK\r\n" + EMPTY, ResponseFault.STATUS_LINE},
      {"HTTP/1.1 000 Odd\r\n" + EMPTY, ResponseFault.STATUS_LINE},
      {"HTTP/1.1 099 Odd\r\n" + EMPTY, ResponseFault.STATUS_LINE},
      {"HTTP/1.1 600 Odd\r\n" + EMPTY, ResponseFault.STATUS_LINE},
      {"HTTP/1.1 999 Odd\r\n" + EMPTY, ResponseFault.STATUS_LINE},
      {"HTTP/1.1 020 OK\r\n" + EMPTY, ResponseFault.STATUS_LINE},
      {"HTTP/1.1 2o0 OK\r\n" + EMPTY, ResponseFault.STATUS_LINE},
      {"HTTP/1.1 20o OK\r\n" + EMPTY, ResponseFault.STATUS_LINE},
      {"HTTP/1.1 200 O\0K\r\n" + EMPTY, ResponseFault.STATUS_LINE},
      {"HTTP/1.1 200 O\rK\r\n" + EMPTY, ResponseFault.STATUS_LINE},
      {"HTTP/1.1 200 OK\n" + EMPTY, ResponseFault.STATUS_LINE},
      {"HTTP/1.1 200\rX" + EMPTY, ResponseFault.STATUS_LINE},
      {"HTTP/1.1 101 Switching Protocols\r\n\r\n", ResponseFault.STATUS_LINE},
      {OK + "HTTP/1.1 500 Error\r\n" + EMPTY, ResponseFault.STATUS_LINE_WITHIN_HEAD},
      {OK + "X-Own: HTTP/1.1 500 Error\r\n" + EMPTY, ResponseFault.STATUS_LINE_WITHIN_HEAD},
      {OK + "X-Own: aHTTP/1.0 500\r\n" + EMPTY, ResponseFault.STATUS_LINE_WITHIN_HEAD},
      {"HTTP/1.1 200 HTTP/1.1 500 Error\r\n" + EMPTY, ResponseFault.STATUS_LINE_WITHIN_HEAD},
      {OK + "X-Own a\r\n" + EMPTY, ResponseFault.FIELD},
      {OK + "X-Own : a\r\n" + EMPTY, ResponseFault.FIELD},
      {OK + "X(Own): a\r\n" + EMPTY, ResponseFault.FIELD},
      {OK + "X-\u00e9: a\r\n" + EMPTY, ResponseFault.FIELD},
      {OK + ": a\r\n" + EMPTY, ResponseFault.FIELD},
      {OK + "X-Own: a\r\n b\r\n" + EMPTY, ResponseFault.FIELD},
      {OK + "X-Own: a\r\n\tb: c\r\n" + EMPTY, ResponseFault.FIELD},
      {OK + " X-Own: a\r\n" + EMPTY, ResponseFault.FIELD},
      {OK + "X-Own: a\rb\r\n" + EMPTY, ResponseFault.FIELD},
      {OK + "X-Own: a\nX: b\r\n" + EMPTY, ResponseFault.FIELD},
      {OK + "X-Own: a\0b\r\n" + EMPTY, ResponseFault.FIELD},
      {OK + "X-Own: a\u000bb\r\n" + EMPTY, ResponseFault.FIELD},
      {OK + "X-Own: a\u001fb\r\n" + EMPTY, ResponseFault.FIELD},
      {OK + "X-Own: a\u007fb\r\n" + EMPTY, ResponseFault.FIELD},
      {OK + "\rX: a\r\n" + EMPTY, ResponseFault.FIELD},
      {OK + "Content-Length: 0\r\n" + EMPTY, ResponseFault.BODY_LENGTH},
      {OK + "content-LENGTH: 1\r\n" + EMPTY, ResponseFault.BODY_LENGTH},
      {OK + "Content-Length: +0\r\n\r\n", ResponseFault.BODY_LENGTH},
      {OK + "Content-Length: -0\r\n\r\n", ResponseFault.BODY_LENGTH},
      {OK + "Content-Length: 0 0\r\n\r\n", ResponseFault.BODY_LENGTH},
      {OK + "Content-Length: 0, 0\r\n\r\n", ResponseFault.BODY_LENGTH},
      {OK + "Content-Length: 0x0\r\n\r\n", ResponseFault.BODY_LENGTH},
      {OK + "Content-Length:\r\n\r\n", ResponseFault.BODY_LENGTH},
      {OK + "Content-Length: \u00b2\r\n\r\n", ResponseFault.BODY_LENGTH},
      {OK + "Content-Length: 0000000000000000000\r\n\r\n", ResponseFault.BODY_LENGTH},
      {OK + "Transfer-Encoding: chunked\r\n" + EMPTY, ResponseFault.BODY_LENGTH},
      {OK + "Transfer-Encoding: gzip, chunked\r\n\r\n", ResponseFault.BODY_LENGTH},
      {OK + "Transfer-Encoding: chunked, chunked\r\n\r\n", ResponseFault.BODY_LENGTH},
      {OK + "Transfer-Encoding: identity\r\n" + EMPTY, ResponseFault.BODY_LENGTH},
      {OK + "Transfer-Encoding:\r\n\r\n", ResponseFault.BODY_LENGTH},
      {OK + "Transfer-Encoding: chunked\r\n" + CHUNKED.substring(17), ResponseFault.BODY_LENGTH},
      {CHUNKED.replace("1.1", "1.0"), ResponseFault.BODY_LENGTH},
      {"HTTP/1.1 205 Reset\r\nContent-Length: 1\r\n\r\na", ResponseFault.BODY_LENGTH},
      {CHUNKED.replace("200", "205") + LAST_CHUNK, ResponseFault.BODY_LENGTH},
      {INTERIM.repeat(MAXIMUM_INTERIM + 1), ResponseFault.INTERIM_RESPONSES},
      {OK + "X-Own: a\r\n".repeat(2_000) + EMPTY, ResponseFault.LONG_HEAD},
      {"a".repeat(20_000), ResponseFault.LONG_HEAD},
      {OK + "X-Own: a\r\n", ResponseFault.INCOMPLETE_HEAD},
    };
  }

  @DataProvider
  public Object[][] malformedChunks() {
    return new Object[][] {
      {"+5\r\n01234\r\n"},
      {"-5\r\n01234\r\n"},
      {"0x5\r\n01234\r\n"},
      {" 5\r\n01234\r\n"},
      {"5 \r\n01234\r\n"},
      {"5 ;a\r\n01234\r\n"},
      {"g\r\n"},
      {"\r\n"},
      {";a\r\n"},
      {"0000000000000005\r\n01234\r\n"},
      {"5\n01234\r\n"},
      {"5\r\r\n01234\r\n"},
      {"5;a\rb\r\n01234\r\n"},
      {"5;a\0b\r\n01234\r\n"},
      {"5;a\nb\r\n01234\r\n"},
      {"5;" + "a".repeat(300) + "\r\n01234\r\n"},
      {"5\r\n012345\r\n"},
      {"5\r\n01234\n"},
      {"5\r\n01234\rX"},
      {"5\r\n01234" + LAST_CHUNK},
      {"0\r\nno trailer\r\n\r\n"},
      {"0\r\n: a\r\n\r\n"},
      {"0\r\nX-Own: a\r\n b: c\r\n\r\n"},
      {"0\r\nX-Own: a\rb\r\n\r\n"},
      {"0\r\nX-Own: a\0b\r\n\r\n"},
      {"0\r\nX-Own: a\nb\r\n\r\n"},
      {"0\r\nX-Own: " + "a".repeat(300) + "\r\n\r\n"},
      {"0\r\n" + "X-Own: a\r\n".repeat(1_000) + "\r\n"},
    };
  }

  /** Fields that contradict each other, and lines that decoders read in different ways. */
  @Test(dataProvider = "malformedHeads")
  public void malformedHeadIsNotGivenOut(String bytes, ResponseFault fault) {
    verifyRefused("GET", bytes, fault);
  }

  /** Sizes and line ends that decoders read in different ways. */
  @Test(dataProvider = "malformedChunks")
  public void malformedChunkEndsTheResponse(String chunks) {
    verifyRefused("GET", CHUNKED + chunks, ResponseFault.CHUNK);
  }

  /** After a 2xx to CONNECT the bytes of the connection are a tunnel's. */
  @Test
  public void answerToConnectIsNotGivenOut() {
    verifyRefused("CONNECT", OK + EMPTY, ResponseFault.STATUS_LINE);
  }

  private static void verifyRefused(String method, String bytes, ResponseFault fault) {
    GuardedChannel channel = new GuardedChannel();
    channel.request(method);
    channel.receive(bytes);
    channel.endByPeer();

    assertThat(channel.whole()).isEmpty();
    assertThat(channel.fault()).contains(fault);
  }

  @DataProvider
  public Object[][] answersWithoutBody() {
    return new Object[][] {
      {"HEAD", OK + "Content-Length: 5\r\n\r\n"},
      {"HEAD", CHUNKED},
      {"HEAD", OK + "\r\n"},
      {"GET", "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n"},
      {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"},
      {"GET", "HTTP/1.1 205 Reset Content\r\nContent-Length: 0\r\n\r\n"},
      {"GET", OK + EMPTY},
    };
  }

  /** What follows an answer without a body is no body. */
  @Test(dataProvider = "answersWithoutBody")
  public void bytesAfterAnAnswerWithoutBodyMakeTheConnectionUnusable(String method, String bytes) {
    GuardedChannel channel = new GuardedChannel();
    channel.request(method);
    channel.receive(bytes + "01234");

    assertThat(channel.whole()).singleElement().matches(whole -> whole.body().isEmpty());
    assertThat(channel.fault()).contains(ResponseFault.SURPLUS);
    assertThat(channel.hasEnded()).isTrue();
  }

  /** The reader and the decoder disagree on where a 205 without a length ends. */
  @Test
  public void resetContentWithoutLengthEndsWithItsConnection() {
    GuardedChannel channel = new GuardedChannel();
    channel.request("GET");
    channel.receive("HTTP/1.1 205 Reset Content\r\n\r\nab");
    channel.endByPeer();

    assertThat(channel.fault()).isEmpty();
    assertThat(channel.whole()).singleElement().matches(whole -> whole.body().equals("ab"));
  }

  /** A peer speaks before it is asked. */
  @Test
  public void bytesBeforeTheFirstRequestCloseTheConnection() {
    GuardedChannel channel = new GuardedChannel();
    channel.receive("H");

    assertThat(channel.fault()).contains(ResponseFault.UNREQUESTED);
    assertThat(channel.hasEnded()).isTrue();
  }

  @DataProvider
  public Object[][] allowed() {
    return new Object[][] {
      {OK + EMPTY},
      {"HTTP/1.0 599 \r\n" + EMPTY},
      {"HTTP/1.1 200\r\n" + EMPTY},
      {"HTTP/1.1 200 \u00e9\tb\r\n" + EMPTY},
      {OK + "X-Own:\r\n" + EMPTY},
      {OK + "X-Own: \u00e9 a\tb\r\n" + EMPTY},
      {OK + "!#$%&'*+-.^_`|~09azAZ: a\r\n" + EMPTY},
      {OK + "X-Own: HTTP/1.1\r\n" + EMPTY},
      {OK + "Content-Length: \t000000000000000000\t \r\n\r\n"},
      {OK + "X-Own: a\r\n".repeat(700) + EMPTY},
      {OK + "transfer-encoding: CHUNKED\r\n\r\n" + LAST_CHUNK},
      {CHUNKED + "000000000000005;a\t=\"b\"\r\n01234\r\n" + LAST_CHUNK},
      {CHUNKED + "A\r\n0123456789\r\na\r\n0123456789\r\n00\r\nX-Own: a\r\n\r\n"},
      {INTERIM.repeat(MAXIMUM_INTERIM) + OK + EMPTY},
      {"HTTP/1.1 205 Reset Content\r\n" + EMPTY},
    };
  }

  /** What the grammar allows is refused. */
  @Test(dataProvider = "allowed")
  public void allowedFormsPass(String bytes) {
    GuardedChannel channel = new GuardedChannel();
    channel.request("GET");
    channel.receive(bytes);

    assertThat(channel.fault()).isEmpty();
    assertThat(channel.hasEnded()).isFalse();
    assertThat(channel.whole()).hasSize(1);
  }
}
