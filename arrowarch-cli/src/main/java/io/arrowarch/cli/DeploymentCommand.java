package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.google.common.collect.ImmutableMap;
import io.arrowarch.core.config.ConfigurationDocument;
import io.arrowarch.emulator.FreeAddresses;
import io.arrowarch.emulator.SampleDeployments;
import java.io.IOException;
import java.io.PrintStream;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;

/** {@code arrowarch-emulator deployment}: prints the document of a sample deployment. */
@Parameters(commandDescription = "Prints a sample document: demo, single, nordeste or slovakia")
final class DeploymentCommand implements Command {
  private static final ImmutableMap<String, Function<Supplier<String>, ConfigurationDocument>>
      DEPLOYMENTS =
          ImmutableMap.of(
              "demo", SampleDeployments::demo,
              "single", SampleDeployments::single,
              "nordeste", SampleDeployments::nordeste,
              "slovakia", SampleDeployments::slovakia);
  private static final YAMLMapper YAML =
      YAMLMapper.builder(
              new YAMLFactory()
                  .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
                  .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES))
          .addModule(new Jdk8Module())
          .build();

  /** Where documents with numbered ports put their back ends. */
  private static final String NUMBERED_HOST = "127.0.0.2";

  @Parameter(description = "NAME", required = true)
  private String name;

  @Parameter(names = "--first-port", description = "Numbers ports from here; else free ones")
  private Integer firstPort;

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    Function<Supplier<String>, ConfigurationDocument> deployment = DEPLOYMENTS.get(name);
    if (deployment == null) {
      throw new CommandException("no deployment is named '" + name + "'");
    }
    try (FreeAddresses free = new FreeAddresses()) {
      out.print(YAML.writeValueAsString(deployment.apply(firstPort == null ? free : numbered())));
      return ExitCode.OK;
    } catch (JsonProcessingException e) {
      throw new CommandException("cannot write the document", e);
    } catch (IOException e) {
      throw new CommandException("no free port: " + e.getMessage(), e);
    }
  }

  private Supplier<String> numbered() {
    AtomicInteger next = new AtomicInteger(firstPort);
    return () -> NUMBERED_HOST + ":" + next.getAndIncrement();
  }
}
