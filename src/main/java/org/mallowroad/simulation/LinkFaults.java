package org.mallowroad.simulation;

import java.util.ArrayList;
import java.util.List;

/**
 * Cuts links between controllers and the other parties. Each method returns an action that heals
 * what it cut.
 */
final class LinkFaults {
  private final EventQueue eventQueue;
  private final Network network;
  private final int controllerCount;

  LinkFaults(EventQueue eventQueue, Network network, int controllerCount) {
    this.eventQueue = eventQueue;
    this.network = network;
    this.controllerCount = controllerCount;
  }

  static Network.PartySelector controllerSelector(int index) {
    return new Network.PartySelector(Network.Kind.NODE, index, null);
  }

  static Network.PartySelector kindSelector(Network.Kind kind) {
    return new Network.PartySelector(kind, -1, null);
  }

  Runnable cutLink(Fault fault, Network.PartySelector from, Network.PartySelector to) {
    Network.Mode mode = Network.Mode.valueOf(fault.mode().toUpperCase(java.util.Locale.ROOT));
    Runnable healForward = fault.direction() == 2 ? () -> {} : network.cut(from, to, mode);
    Runnable healBackward = fault.direction() == 1 ? () -> {} : network.cut(to, from, mode);
    return () -> {
      healForward.run();
      healBackward.run();
    };
  }

  Runnable flapLink(Fault fault, Network.PartySelector from, Network.PartySelector to) {
    Runnable[] heal = {cutLink(fault, from, to)};
    boolean[] ended = new boolean[1];
    boolean[] isUp = new boolean[1];
    Runnable[] toggle = new Runnable[1];
    toggle[0] =
        () -> {
          if (ended[0]) {
            return;
          }
          if (isUp[0]) {
            heal[0] = cutLink(fault, from, to);
          } else {
            heal[0].run();
          }
          isUp[0] = !isUp[0];
          eventQueue.schedule(3_000_000, null, toggle[0]);
        };
    eventQueue.schedule(3_000_000, null, toggle[0]);
    return () -> {
      ended[0] = true;
      heal[0].run();
    };
  }

  /**
   * Cuts {@code count} controllers, beginning with {@code first}, off from the state service and
   * all other controllers off from the workers.
   */
  Runnable splitStateAndWorkers(Fault fault, int first) {
    List<Runnable> heals = new ArrayList<>();
    for (int i = 0; i < controllerCount; i++) {
      boolean losesState = i < fault.count();
      Network.Kind lostKind = losesState ? Network.Kind.STATE : Network.Kind.WORKER;
      heals.add(
          cutLink(
              fault, controllerSelector((first + i) % controllerCount), kindSelector(lostKind)));
    }
    return () -> heals.forEach(Runnable::run);
  }

  Runnable cutFromAllButWorkersAndUsers(Fault fault, int controller) {
    List<Runnable> heals = new ArrayList<>();
    for (Network.Kind lostKind :
        List.of(Network.Kind.STATE, Network.Kind.CLOUD, Network.Kind.NODE)) {
      heals.add(cutLink(fault, controllerSelector(controller), kindSelector(lostKind)));
    }
    return () -> heals.forEach(Runnable::run);
  }

  Runnable cutFromStateAndPeers(Fault fault, int controller) {
    List<Runnable> heals = new ArrayList<>();
    for (Network.Kind lostKind : List.of(Network.Kind.STATE, Network.Kind.NODE)) {
      heals.add(cutLink(fault, controllerSelector(controller), kindSelector(lostKind)));
      heals.add(cutLink(fault, kindSelector(lostKind), controllerSelector(controller)));
    }
    return () -> heals.forEach(Runnable::run);
  }
}
