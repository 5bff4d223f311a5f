package org.mallowroad.config;

import java.io.File;
import java.io.IOException;
import java.util.Optional;
import javax.xml.XMLConstants;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.mallowroad.core.autoscaling.AutoscalerPolicy;
import org.mallowroad.core.health.HealthPolicy;
import org.mallowroad.core.image.ImageFetchPolicy;
import org.mallowroad.core.linkstate.LinkPolicy;
import org.w3c.dom.Element;
import org.xml.sax.SAXException;

/**
 * The operators' own settings (XML): the autoscaler's thresholds, cycle and step; the thresholds by
 * which machines, zones and the controller itself are suspected of being unhealthy; limits on image
 * fetches; the form of start records; the console server; and link-state routing around network
 * partitions. The console and link-state routing are off unless the file has their element.
 */
public record OperatorSettings(
    AutoscalerPolicy autoscaler,
    HealthPolicy health,
    Optional<ConsoleSettings> console,
    Optional<LinkPolicy> links,
    ImageFetchPolicy imageFetch,
    RecordPolicy records) {

  /**
   * The settings that apply without a file: the defaults, with console and link-state routing off.
   */
  public static OperatorSettings defaults() {
    return new OperatorSettings(
        AutoscalerPolicy.defaults(),
        HealthPolicy.defaults(),
        Optional.empty(),
        Optional.empty(),
        ImageFetchPolicy.defaults(),
        RecordPolicy.defaults());
  }

  /** Returns a copy with the console enabled. */
  public OperatorSettings with(ConsoleSettings consoleSettings) {
    return new OperatorSettings(
        autoscaler, health, Optional.of(consoleSettings), links, imageFetch, records);
  }

  /** Returns a copy with link-state routing enabled. */
  public OperatorSettings with(LinkPolicy linkPolicy) {
    return new OperatorSettings(
        autoscaler, health, console, Optional.of(linkPolicy), imageFetch, records);
  }

  /**
   * Reads and validates a file of the form {@code <mallowroad><fleet
   * booked-limit=".."/></mallowroad>}. Unknown elements and attributes are ignored.
   */
  public static OperatorSettings load(String file) throws InvalidSettingsException {
    Element root;
    try {
      DocumentBuilderFactory factory = DocumentBuilderFactory.newDefaultInstance();
      factory.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true);
      factory.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
      var parser = factory.newDocumentBuilder();
      parser.setErrorHandler(null);
      root = parser.parse(new File(file)).getDocumentElement();
    } catch (ParserConfigurationException | SAXException | IOException exception) {
      throw new InvalidSettingsException(file, "file", "cannot be read: " + exception.getMessage());
    }
    if (!root.getTagName().equals("mallowroad")) {
      throw new InvalidSettingsException(
          file, root.getTagName(), "the root element must be mallowroad");
    }
    return new OperatorSettings(
        autoscaler(file, root),
        health(file, root),
        console(file, root),
        links(file, root),
        imageFetch(file, root),
        records(file, root));
  }

  private static RecordPolicy records(String file, Element root) throws InvalidSettingsException {
    if (!(root.getElementsByTagName("records").item(0) instanceof Element element)) {
      return RecordPolicy.defaults();
    }
    String shared = element.getAttribute("share-starts");
    if (!shared.equals("true") && !shared.equals("false")) {
      throw new InvalidSettingsException(file, "records/share-starts", "true or false is needed");
    }
    return new RecordPolicy(shared.equals("true"));
  }

  private static AutoscalerPolicy autoscaler(String file, Element root)
      throws InvalidSettingsException {
    AutoscalerPolicy defaults = AutoscalerPolicy.defaults();
    if (!(root.getElementsByTagName("fleet").item(0) instanceof Element element)) {
      return defaults;
    }
    return new AutoscalerPolicy(
        number(file, element, "booked-limit", defaults.bookedLimit(), 0.01, 1),
        number(file, element, "waiting-limit", defaults.waitingLimit(), 1, 1e6),
        number(file, element, "booked-spare", defaults.bookedSpare(), 0, 1),
        number(file, element, "waiting-spare", defaults.waitingSpare(), 0, 1e6),
        (long) (number(file, element, "cycle-s", defaults.cycleMs() / 1000.0, 0.1, 3600) * 1000),
        (int) number(file, element, "step", defaults.maxScaleOutPerType(), 1, 1000),
        (long) (number(file, element, "idle-s", defaults.idleMs() / 1000.0, 0, 86400) * 1000));
  }

  private static HealthPolicy health(String file, Element root) throws InvalidSettingsException {
    HealthPolicy defaults = HealthPolicy.defaults();
    if (!(root.getElementsByTagName("health").item(0) instanceof Element element)) {
      return defaults;
    }
    return new HealthPolicy(
        number(file, element, "slow-factor", defaults.slowFactor(), 1.1, 100),
        (int) number(file, element, "slow-samples", defaults.minSlowSamples(), 2, 12),
        number(file, element, "slow-share", defaults.maxSlowShare(), 0, 1),
        (long)
            (number(file, element, "favour-s", defaults.suspicionExpiryMs() / 1000.0, 1, 86400)
                * 1000),
        (int) number(file, element, "errors", defaults.minFailedJobs(), 1, 100),
        number(file, element, "cut-share", defaults.partitionShare(), 0.05, 1),
        (int) number(file, element, "cut-least", defaults.minPartitionMachines(), 1, 1e6),
        number(file, element, "cut-returns", defaults.maxPartitionDeletionShare(), 0, 1),
        number(file, element, "haste-share", defaults.maxDeletionShare(), 0, 1),
        (int) number(file, element, "haste-least", defaults.minDeletions(), 1, 1e6),
        number(file, element, "replace-share", defaults.maxReplacementShare(), 0, 1),
        (long) (number(file, element, "still-s", defaults.pauseMs() / 1000.0, 0.5, 60) * 1000));
  }

  private static Optional<ConsoleSettings> console(String file, Element root)
      throws InvalidSettingsException {
    if (!(root.getElementsByTagName("console").item(0) instanceof Element element)) {
      return Optional.empty();
    }
    Settings.Endpoint listen = Settings.Endpoint.parse(element.getAttribute("listen").trim());
    if (listen == null) {
      throw new InvalidSettingsException(file, "console/listen", "host:port is needed");
    }
    return Optional.of(
        new ConsoleSettings(
            listen,
            (long) (number(file, element, "every-s", 5, 0.2, 3600) * 1000),
            (long) (number(file, element, "fresh-s", 1, 0.1, 3600) * 1000),
            (int) number(file, element, "history", 240, 0, 2_000)));
  }

  private static Optional<LinkPolicy> links(String file, Element root)
      throws InvalidSettingsException {
    if (!(root.getElementsByTagName("links").item(0) instanceof Element element)) {
      return Optional.empty();
    }
    LinkPolicy defaults = LinkPolicy.defaults();
    LinkPolicy policy =
        new LinkPolicy(
            milliseconds(file, element, "row-s", defaults.advertiseIntervalMs(), 0.2, 60),
            milliseconds(file, element, "fresh-s", defaults.maxAgeMs(), 0.5, 300),
            (long) number(file, element, "hedge-ms", (double) defaults.hedgeDelayMs(), 20, 5_000),
            milliseconds(file, element, "steady-s", defaults.recoveryMs(), 0.1, 60),
            milliseconds(file, element, "hold-s", defaults.relayHoldMs(), 1, 600),
            milliseconds(file, element, "canary-s", defaults.canaryIntervalMs(), 1, 600));
    if (policy.maxAgeMs() < 2 * policy.advertiseIntervalMs()) {
      throw new InvalidSettingsException(file, "links/fresh-s", "at least twice row-s is needed");
    }
    return Optional.of(policy);
  }

  private static ImageFetchPolicy imageFetch(String file, Element root)
      throws InvalidSettingsException {
    ImageFetchPolicy defaults = ImageFetchPolicy.defaults();
    if (!(root.getElementsByTagName("fetch").item(0) instanceof Element element)) {
      return defaults;
    }
    return new ImageFetchPolicy(
        (int) number(file, element, "source-limit", defaults.sharedSourceLimit(), 0, 100_000),
        (int) number(file, element, "machine-limit", defaults.perMachineLimit(), 0, 100),
        (int) number(file, element, "takers", defaults.perSourceLimit(), 0, 100),
        (int) number(file, element, "across", defaults.crossZoneLimit(), 1, 100),
        number(file, element, "least-gb", defaults.minimumGb(), 0, 1e6));
  }

  /** Returns a copy with other limits on image fetches. */
  public OperatorSettings with(ImageFetchPolicy imageFetchPolicy) {
    return new OperatorSettings(autoscaler, health, console, links, imageFetchPolicy, records);
  }

  /** Returns a copy with another form of start records. */
  public OperatorSettings with(RecordPolicy recordPolicy) {
    return new OperatorSettings(autoscaler, health, console, links, imageFetch, recordPolicy);
  }

  private static long milliseconds(
      String file, Element element, String name, long defaultMs, double min, double max)
      throws InvalidSettingsException {
    return (long) (number(file, element, name, defaultMs / 1000.0, min, max) * 1000);
  }

  private static double number(
      String file, Element element, String name, double defaultValue, double min, double max)
      throws InvalidSettingsException {
    if (!element.hasAttribute(name)) {
      return defaultValue;
    }
    try {
      double value = Double.parseDouble(element.getAttribute(name).trim());
      if (value >= min && value <= max) {
        return value;
      }
    } catch (NumberFormatException exception) {
      // Reported below, with the same message as a number out of range.
    }
    throw new InvalidSettingsException(
        file,
        element.getTagName() + "/" + name,
        "a number from " + min + " to " + max + " is needed");
  }
}
