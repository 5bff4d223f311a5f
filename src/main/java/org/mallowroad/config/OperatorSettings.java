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
 * The operators' own settings (XML): the design's thresholds, triggers, cycle and step, and the
 * thresholds by which machines, zones and the controller itself are suspected, and the console's
 * listener and the ways round cuts, each of which is off when it is not named.
 */
public record OperatorSettings(
    AutoscalerPolicy autoscaler,
    HealthPolicy health,
    Optional<ConsoleSettings> console,
    Optional<LinkPolicy> links,
    ImageFetchPolicy imageFetch,
    RecordPolicy records) {

  /** What holds without a file. */
  public static OperatorSettings defaults() {
    return new OperatorSettings(
        AutoscalerPolicy.defaults(),
        HealthPolicy.defaults(),
        Optional.empty(),
        Optional.empty(),
        ImageFetchPolicy.defaults(),
        RecordPolicy.defaults());
  }

  /** The same with a console. */
  public OperatorSettings with(ConsoleSettings c) {
    return new OperatorSettings(autoscaler, health, Optional.of(c), links, imageFetch, records);
  }

  /** The same with ways round cuts. */
  public OperatorSettings with(LinkPolicy l) {
    return new OperatorSettings(autoscaler, health, console, Optional.of(l), imageFetch, records);
  }

  /**
   * Reads and checks a file of the form {@code <mallowroad><fleet
   * booked-limit=".."/></mallowroad>}.
   */
  public static OperatorSettings load(String file) throws InvalidSettingsException {
    Element root;
    try {
      DocumentBuilderFactory f = DocumentBuilderFactory.newDefaultInstance();
      f.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true);
      f.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
      var builder = f.newDocumentBuilder();
      builder.setErrorHandler(null);
      root = builder.parse(new File(file)).getDocumentElement();
    } catch (ParserConfigurationException | SAXException | IOException e) {
      throw new InvalidSettingsException(file, "file", "cannot be read: " + e.getMessage());
    }
    if (!root.getTagName().equals("mallowroad")) {
      throw new InvalidSettingsException(file, root.getTagName(), "the root element is mallowroad");
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
    if (!(root.getElementsByTagName("records").item(0) instanceof Element e)) {
      return RecordPolicy.defaults();
    }
    String shared = e.getAttribute("share-starts");
    if (!shared.equals("true") && !shared.equals("false")) {
      throw new InvalidSettingsException(file, "records/share-starts", "true or false is needed");
    }
    return new RecordPolicy(shared.equals("true"));
  }

  private static AutoscalerPolicy autoscaler(String file, Element root)
      throws InvalidSettingsException {
    AutoscalerPolicy d = AutoscalerPolicy.defaults();
    if (!(root.getElementsByTagName("fleet").item(0) instanceof Element e)) {
      return d;
    }
    return new AutoscalerPolicy(
        number(file, e, "booked-limit", d.bookedLimit(), 0.01, 1),
        number(file, e, "waiting-limit", d.waitingLimit(), 1, 1e6),
        number(file, e, "booked-spare", d.bookedSpare(), 0, 1),
        number(file, e, "waiting-spare", d.waitingSpare(), 0, 1e6),
        (long) (number(file, e, "cycle-s", d.cycleMs() / 1000.0, 0.1, 3600) * 1000),
        (int) number(file, e, "step", d.maxScaleOutPerType(), 1, 1000),
        (long) (number(file, e, "idle-s", d.idleMs() / 1000.0, 0, 86400) * 1000));
  }

  private static HealthPolicy health(String file, Element root) throws InvalidSettingsException {
    HealthPolicy d = HealthPolicy.defaults();
    if (!(root.getElementsByTagName("health").item(0) instanceof Element e)) {
      return d;
    }
    return new HealthPolicy(
        number(file, e, "slow-factor", d.slowFactor(), 1.1, 100),
        (int) number(file, e, "slow-samples", d.minSlowSamples(), 2, 12),
        number(file, e, "slow-share", d.maxSlowShare(), 0, 1),
        (long) (number(file, e, "favour-s", d.suspicionExpiryMs() / 1000.0, 1, 86400) * 1000),
        (int) number(file, e, "errors", d.minFailedJobs(), 1, 100),
        number(file, e, "cut-share", d.partitionShare(), 0.05, 1),
        (int) number(file, e, "cut-least", d.minPartitionMachines(), 1, 1e6),
        number(file, e, "cut-returns", d.maxPartitionDeletionShare(), 0, 1),
        number(file, e, "haste-share", d.maxDeletionShare(), 0, 1),
        (int) number(file, e, "haste-least", d.minDeletions(), 1, 1e6),
        number(file, e, "replace-share", d.maxReplacementShare(), 0, 1),
        (long) (number(file, e, "still-s", d.pauseMs() / 1000.0, 0.5, 60) * 1000));
  }

  private static Optional<ConsoleSettings> console(String file, Element root)
      throws InvalidSettingsException {
    if (!(root.getElementsByTagName("console").item(0) instanceof Element e)) {
      return Optional.empty();
    }
    Settings.Endpoint listen = Settings.Endpoint.parse(e.getAttribute("listen").trim());
    if (listen == null) {
      throw new InvalidSettingsException(file, "console/listen", "host:port is needed");
    }
    return Optional.of(
        new ConsoleSettings(
            listen,
            (long) (number(file, e, "every-s", 5, 0.2, 3600) * 1000),
            (long) (number(file, e, "fresh-s", 1, 0.1, 3600) * 1000),
            (int) number(file, e, "history", 240, 0, 2_000)));
  }

  private static Optional<LinkPolicy> links(String file, Element root)
      throws InvalidSettingsException {
    if (!(root.getElementsByTagName("links").item(0) instanceof Element e)) {
      return Optional.empty();
    }
    LinkPolicy d = LinkPolicy.defaults();
    LinkPolicy p =
        new LinkPolicy(
            ms(file, e, "row-s", d.advertiseIntervalMs(), 0.2, 60),
            ms(file, e, "fresh-s", d.maxAgeMs(), 0.5, 300),
            (long) number(file, e, "hedge-ms", (double) d.hedgeDelayMs(), 20, 5_000),
            ms(file, e, "steady-s", d.recoveryMs(), 0.1, 60),
            ms(file, e, "hold-s", d.relayHoldMs(), 1, 600),
            ms(file, e, "canary-s", d.canaryIntervalMs(), 1, 600));
    if (p.maxAgeMs() < 2 * p.advertiseIntervalMs()) {
      throw new InvalidSettingsException(file, "links/fresh-s", "at least twice row-s is needed");
    }
    return Optional.of(p);
  }

  private static ImageFetchPolicy imageFetch(String file, Element root)
      throws InvalidSettingsException {
    ImageFetchPolicy d = ImageFetchPolicy.defaults();
    if (!(root.getElementsByTagName("fetch").item(0) instanceof Element e)) {
      return d;
    }
    return new ImageFetchPolicy(
        (int) number(file, e, "source-limit", d.sharedSourceLimit(), 0, 100_000),
        (int) number(file, e, "machine-limit", d.perMachineLimit(), 0, 100),
        (int) number(file, e, "takers", d.perSourceLimit(), 0, 100),
        (int) number(file, e, "across", d.crossZoneLimit(), 1, 100),
        number(file, e, "least-gb", d.minimumGb(), 0, 1e6));
  }

  /** The same with limits on fetches. */
  public OperatorSettings with(ImageFetchPolicy f) {
    return new OperatorSettings(autoscaler, health, console, links, f, records);
  }

  /** The same with another form of records. */
  public OperatorSettings with(RecordPolicy r) {
    return new OperatorSettings(autoscaler, health, console, links, imageFetch, r);
  }

  private static long ms(
      String file, Element e, String name, long otherwise, double min, double max)
      throws InvalidSettingsException {
    return (long) (number(file, e, name, otherwise / 1000.0, min, max) * 1000);
  }

  private static double number(
      String file, Element e, String name, double otherwise, double min, double max)
      throws InvalidSettingsException {
    if (!e.hasAttribute(name)) {
      return otherwise;
    }
    try {
      double v = Double.parseDouble(e.getAttribute(name).trim());
      if (v >= min && v <= max) {
        return v;
      }
    } catch (NumberFormatException x) {
      // Falls through to the one message.
    }
    throw new InvalidSettingsException(
        file, e.getTagName() + "/" + name, "a number from " + min + " to " + max + " is needed");
  }
}
