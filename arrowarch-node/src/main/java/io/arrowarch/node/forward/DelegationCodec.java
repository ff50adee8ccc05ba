package io.arrowarch.node.forward;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.google.common.collect.ImmutableList;
import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.forward.Caller;
import io.arrowarch.core.forward.DelegateReply;
import io.arrowarch.core.forward.DelegatedSearch;
import io.arrowarch.core.forward.ForwardedAnswer;
import io.arrowarch.core.forward.ForwardedRequest;
import io.arrowarch.core.forward.HeaderField;
import io.arrowarch.core.forward.Payload;
import io.arrowarch.core.route.RouteTarget;
import io.arrowarch.core.tenant.Credential;
import io.arrowarch.node.JsonFields;
import io.vavr.control.Try;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Base64;
import java.util.Locale;
import java.util.Optional;

/**
 * JSON of searches that routers hand to each other, and of the replies. Times are microseconds. A
 * search carries a number that its reply repeats; routers of earlier versions do neither.
 */
final class DelegationCodec {
  private static final JsonFactory FACTORY = new JsonFactory();
  private static final long NANOS_PER_MICRO = 1_000;
  private static final String NUMBER = "number";

  private DelegationCodec() {}

  /** Writes the fields of one object. */
  private interface FieldWriter {
    void write(JsonGenerator json) throws IOException;
  }

  static byte[] encode(long number, DelegatedSearch search) {
    ForwardedRequest request = search.request();
    return object(
        json -> {
          json.writeNumberField(NUMBER, number);
          json.writeNumberField("version", search.version());
          json.writeNumberField("timeLeft", micros(search.timeLeft()));
          json.writeNumberField("objectiveLeft", micros(search.objectiveLeft()));
          json.writeBooleanField("proven", search.isProven());
          json.writeNumberField("limit", search.parts().limit());
          json.writeNumberField("minimumCoverage", search.parts().minimumCoverage());
          json.writeStringField("id", request.id());
          json.writeStringField("method", request.method());
          json.writeStringField("host", request.host());
          json.writeStringField("target", request.target());
          writeCaller(json, request.caller());
          json.writeArrayFieldStart("shards");
          for (String shard : search.shards()) {
            json.writeString(shard);
          }
          json.writeEndArray();
          json.writeArrayFieldStart("headers");
          for (HeaderField header : request.headers()) {
            json.writeString(header.name());
            json.writeString(header.value());
          }
          json.writeEndArray();
          json.writeBinaryField("body", request.body().bytes());
        });
  }

  static Try<DelegatedSearch> decodeSearch(byte[] bytes) {
    return Try.of(
        () -> {
          JsonFields fields = JsonFields.parse(bytes);
          ForwardedRequest request =
              new ForwardedRequest(
                  fields.text("id"),
                  Optional.of(duration(fields.whole("timeLeft"))),
                  fields.text("method"),
                  fields.text("host"),
                  fields.text("target"),
                  caller(fields),
                  headers(fields.texts("headers")),
                  payload(fields.text("body")));
          return new DelegatedSearch(
              request,
              fields.whole("version"),
              new RouteTarget.AllShards(
                  fields.texts("shards"),
                  Math.toIntExact(fields.whole("limit")),
                  fields.number("minimumCoverage")),
              duration(fields.whole("timeLeft")),
              duration(fields.whole("objectiveLeft")),
              fields.flag("proven"));
        });
  }

  /** The number of an encoded search; empty if its sender gave none. */
  static Try<Optional<Long>> decodeNumber(byte[] search) {
    return Try.of(() -> JsonFields.parse(search).optionalWhole(NUMBER));
  }

  /**
   * Encodes a reply.
   *
   * @param number of the search; empty if its sender gave none
   */
  static byte[] encode(Optional<Long> number, DelegateReply reply) {
    return object(
        json -> {
          if (number.isPresent()) {
            json.writeNumberField(NUMBER, number.get());
          }
          writeReply(json, reply);
        });
  }

  private static void writeReply(JsonGenerator json, DelegateReply reply) throws IOException {
    if (reply instanceof DelegateReply.Answered answered) {
      writeAnswered(json, answered);
    } else if (reply instanceof DelegateReply.Declined declined) {
      json.writeStringField("declined", declined.reason());
    } else if (reply instanceof DelegateReply.Failed failed) {
      QueryError error = failed.error();
      json.writeStringField("failed", error.kind().name());
      json.writeStringField("detail", error.detail());
      json.writeNumberField("retryAfter", micros(error.retryAfter().orElse(Duration.ZERO)));
    }
  }

  private static void writeAnswered(JsonGenerator json, DelegateReply.Answered answered)
      throws IOException {
    json.writeNumberField("took", micros(answered.took()));
    json.writeNumberField("inProgress", answered.inProgress());
    json.writeNumberField("missingParts", answered.answer().missingParts());
    json.writeArrayFieldStart("signatures");
    for (String signature : answered.answer().signatures()) {
      json.writeString(signature);
    }
    json.writeEndArray();
    json.writeBinaryField("records", answered.answer().records().bytes());
  }

  /**
   * Reads a reply; fails if it repeats the number of another search. A reply without a number is of
   * a router that repeats none.
   */
  static Try<DelegateReply> decodeReply(long number, byte[] bytes) {
    return Try.of(
        () -> {
          JsonFields fields = JsonFields.parse(bytes);
          Optional<Long> repeated = fields.optionalWhole(NUMBER);
          if (repeated.isPresent() && repeated.get() != number) {
            throw new IOException("the reply is to search " + repeated.get() + ", not " + number);
          }
          return reply(fields);
        });
  }

  private static DelegateReply reply(JsonFields fields) {
    if (fields.has("declined")) {
      return new DelegateReply.Declined(fields.text("declined"));
    }
    if (fields.has("failed")) {
      return new DelegateReply.Failed(
          new QueryError(
              ErrorKind.valueOf(fields.text("failed").toUpperCase(Locale.ROOT)),
              fields.text("detail"),
              Executed.UNKNOWN,
              Optional.of(duration(fields.whole("retryAfter")))));
    }
    ForwardedAnswer.Merged answer =
        new ForwardedAnswer.Merged(
            fields.texts("signatures"),
            Math.toIntExact(fields.whole("missingParts")),
            payload(fields.text("records")));
    return new DelegateReply.Answered(
        answer, duration(fields.whole("took")), Math.toIntExact(fields.whole("inProgress")));
  }

  /** A caller's key is told by its hash only. */
  private static void writeCaller(JsonGenerator json, Caller caller) throws IOException {
    if (caller.credential().isPresent()) {
      json.writeStringField("credential", caller.credential().get().hash());
    }
    if (caller.tenant().isPresent()) {
      json.writeStringField("tenant", caller.tenant().get());
    }
  }

  private static Caller caller(JsonFields fields) {
    return new Caller(
        fields.optionalText("credential").map(Credential::new),
        fields.optionalText("tenant"),
        false);
  }

  private static ImmutableList<HeaderField> headers(ImmutableList<String> texts)
      throws IOException {
    if (texts.size() % 2 != 0) {
      throw new IOException("a header has no value");
    }
    ImmutableList.Builder<HeaderField> headers = ImmutableList.builder();
    for (int i = 0; i < texts.size(); i += 2) {
      headers.add(new HeaderField(texts.get(i), texts.get(i + 1)));
    }
    return headers.build();
  }

  private static Payload payload(String base64) {
    return Payload.of(Base64.getDecoder().decode(base64));
  }

  private static long micros(Duration duration) {
    return duration.toNanos() / NANOS_PER_MICRO;
  }

  private static Duration duration(long micros) {
    return Duration.ofNanos(Math.multiplyExact(micros, NANOS_PER_MICRO));
  }

  private static byte[] object(FieldWriter fields) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator json = FACTORY.createGenerator(bytes)) {
      json.writeStartObject();
      fields.write(json);
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }
}
