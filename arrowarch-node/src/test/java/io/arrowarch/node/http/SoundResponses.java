package io.arrowarch.node.http;

import com.google.common.collect.Collections2;
import java.util.List;
import java.util.Random;

/** Answers of servers in all forms, with their fields in any order. */
final class SoundResponses {
  private static final String LINE_END = "\r\n";
  private static final String BODY = "0123456789abcdef";
  private static final String CHUNKS =
      "5;a=b\r\n01234\r\nB\r\n56789abcdef\r\n0;last\r\nX-Check: 1\r\n\r\n";

  /** Forms of an answer; %s stands for the id of the request. */
  private static final List<Form> FORMS =
      List.of(
          new Form("GET", "", "HTTP/1.1 200 OK", "Content-Length: 16", BODY),
          new Form("GET", "", "HTTP/1.1 500 Internal Server Error", "Content-Length: 16", BODY),
          new Form("GET", "", "HTTP/1.1 503 ", "X-Refused: 1\r\nContent-Length: 0", ""),
          new Form("GET", "", "HTTP/1.1 421", "Content-Length: 0", ""),
          new Form("GET", "", "HTTP/1.1 204 No Content", "X-Own: a", ""),
          new Form("GET", "", "HTTP/1.1 304 Not Modified", "Content-Length: 16", ""),
          new Form("GET", "", "HTTP/1.1 200 OK", "Transfer-Encoding: chunked", CHUNKS),
          new Form("GET", "", "HTTP/1.1 500 Error", "transfer-encoding:Chunked ", CHUNKS),
          new Form("GET", "", "HTTP/1.1 200 OK", "Connection: close", BODY),
          new Form("GET", "", "HTTP/1.0 200 OK", "Content-Length:\t16", BODY),
          new Form("GET", "", "HTTP/1.0 500 Error", "X-Own: a:b, c", BODY),
          new Form(
              "GET",
              "HTTP/1.1 100 Continue\r\n\r\n",
              "HTTP/1.1 200 OK",
              "Content-Length: 16",
              BODY),
          new Form(
              "GET",
              "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
              "HTTP/1.1 500 Error",
              "Content-Length: 16",
              BODY),
          new Form("HEAD", "", "HTTP/1.1 200 OK", "Content-Length: 16", ""),
          new Form("HEAD", "", "HTTP/1.1 200 OK", "Transfer-Encoding: chunked", ""));

  private SoundResponses() {}

  /** An answer, and the method of the request that it is for. */
  record Answer(String method, String bytes) {}

  private record Form(
      String method, String interim, String statusLine, String lengthField, String body) {
    Answer answer(List<String> fields) {
      String lines = String.join(LINE_END, fields);
      return new Answer(
          method, interim + statusLine + LINE_END + lines + LINE_END + LINE_END + body);
    }

    List<String> fields(String id) {
      return List.of("X-Id: " + id, "X-Signature: of-" + id, lengthField);
    }

    List<Answer> answersInAllOrders(String id) {
      return Collections2.permutations(fields(id)).stream().map(this::answer).toList();
    }
  }

  /** Each form with its fields in one order. */
  static List<Answer> inOneOrder(String id) {
    return FORMS.stream().map(form -> form.answer(form.fields(id))).toList();
  }

  /** Each form with its fields in each order. */
  static List<Answer> inAllOrders(String id) {
    return FORMS.stream().flatMap(form -> form.answersInAllOrders(id).stream()).toList();
  }

  /** An answer of any form. */
  static Answer any(Random random) {
    List<Answer> all = inOneOrder("next");
    return all.get(random.nextInt(all.size()));
  }
}
