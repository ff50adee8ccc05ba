package io.arrowarch.node.forward;

import io.arrowarch.core.feed.FeedAnswer;
import io.arrowarch.core.feed.FeedFailure;
import io.arrowarch.core.store.StoreRevision;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;

/** The calls of the platform's store. */
public interface FeedCodec {
  /** Path and query of a page of a listing. */
  String listTarget(Optional<String> afterKey);

  /** Path and query of a watch. */
  String watchTarget(StoreRevision after, Duration longestWait);

  /** What this router holds, as a listing of one page, for other routers. */
  byte[] encodeListing(FeedAnswer listing);

  /** What has changed, as the store answers a watch, for routers that follow this one. */
  byte[] encodeChanges(FeedAnswer changes);

  /** Name of the header in which each answer of the store states its era, a whole number. */
  String eraHeader();

  /** What was asked. */
  enum Question {
    /** A page of a listing, or the listing of another router. */
    LISTING,
    /** The changes after a revision. */
    CHANGES
  }

  /**
   * Reads an answer; fails if it is the answer to another kind of question.
   *
   * @param era as the answer's header states it; empty when there is none
   */
  Either<FeedFailure, FeedAnswer> decode(
      Question question, int status, Optional<String> era, byte[] body);
}
