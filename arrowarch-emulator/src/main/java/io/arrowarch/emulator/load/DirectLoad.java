package io.arrowarch.emulator.load;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.arrowarch.core.topology.Backend;
import io.arrowarch.core.topology.Configuration;
import io.arrowarch.core.topology.Layout.Shard;
import io.arrowarch.core.topology.QueryKind;
import io.arrowarch.core.topology.Selection;
import io.arrowarch.core.wire.BackendReply;
import io.arrowarch.core.wire.BackendRequest;
import io.arrowarch.core.wire.WireCodec;
import io.arrowarch.node.CallerProtocol;
import io.arrowarch.node.SocketAddressSetting;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * The baseline for {@link RouterLoad}: the same fan-out done by the load tool straight to the back
 * ends, with the less loaded of two replicas and nothing else: no hedge, no retry, no check of
 * snapshots.
 */
public final class DirectLoad {
  private static final int CONNECTIONS_PER_BACKEND = 8;
  private static final String SHARD_FAILED = "shard-failed";

  private final Vertx vertx;
  private final LoadOptions options;
  private final HttpClient client;
  private final QueryKind kind;
  private final Selection selection;
  private final RandomGenerator random = RandomGenerator.getDefault();
  private final Map<String, Integer> inFlight = new HashMap<>();

  /** Creates a load of a search kind; {@link #run} starts it. */
  public DirectLoad(Vertx vertx, LoadOptions options, Configuration configuration) {
    this.vertx = vertx;
    this.options = options;
    this.client =
        vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_BACKEND));
    this.kind = configuration.kind(options.kind()).orElseThrow();
    String zone = configuration.document().zones().get(0).name();
    this.selection = configuration.select(kind, zone, Instant.now());
  }

  /** Runs the load to its end. */
  public Future<LoadResult> run() {
    LoadGenerator generator = new LoadGenerator(options, this::send);
    return vertx.deployVerticle(generator).compose(deployed -> generator.done());
  }

  private void send(long number, LoadGenerator.Recorder recorder) {
    List<Future<BackendReply>> replies = new ArrayList<>();
    for (Shard shard : kind.layout().shards()) {
      replies.add(ask(number, shard));
    }
    Future.all(replies)
        .onSuccess(all -> recorder.onAnswer(1))
        .onFailure(failure -> recorder.onError(SHARD_FAILED));
  }

  private Future<BackendReply> ask(long number, Shard shard) {
    Backend backend = lessLoadedOfTwo(selection.byShard().get(shard.name()));
    inFlight.merge(backend.id(), 1, Integer::sum);
    SocketAddressSetting address = SocketAddressSetting.parse(backend.address());
    RequestOptions request =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setHost(address.host())
            .setPort(address.port())
            .setURI("/v1/attempts");
    return client
        .request(request)
        .compose(opened -> opened.send(Buffer.buffer(WireCodec.encode(body(number, shard)))))
        .compose(response -> response.body())
        .map(body -> WireCodec.decode(body.getBytes(), BackendReply.class).get())
        .onComplete(done -> inFlight.merge(backend.id(), -1, Integer::sum));
  }

  private BackendRequest body(long number, Shard shard) {
    return new BackendRequest(
        "direct:0:" + number + ":" + shard.name(),
        kind.name(),
        kind.operation(),
        kind.layout().id(),
        shard.name(),
        Optional.empty(),
        kind.deadline().toMillis(),
        CallerProtocol.DEFAULT_LIMIT,
        Optional.empty(),
        JsonNodeFactory.instance.objectNode().put("text", "load " + number));
  }

  private Backend lessLoadedOfTwo(List<Backend> replicas) {
    Backend one = replicas.get(random.nextInt(replicas.size()));
    Backend other = replicas.get(random.nextInt(replicas.size()));
    return load(one) <= load(other) ? one : other;
  }

  private int load(Backend backend) {
    return inFlight.getOrDefault(backend.id(), 0);
  }
}
