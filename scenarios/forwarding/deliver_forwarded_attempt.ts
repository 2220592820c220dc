import { createDispatchState } from "../../src/calls/create_dispatch_state.ts";
import { DispatchEventKind } from "../../src/calls/dispatch_event_kind.ts";
import { getDispatchObstacle } from "../../src/calls/get_dispatch_obstacle.ts";
import type { HandoverTry } from "./forwarded_attempt.ts";
import type { HandoverWorld } from "./forwarding_simulation.ts";
import { stepHandoverTry } from "./step_forwarded_attempt.ts";

/** Lets a try arrive at its node, once, however late. */
export function arriveHandoverTry(
  world: HandoverWorld,
  one: HandoverTry,
): void {
  if (one.state !== undefined) {
    return;
  }
  one.state = createDispatchState({
    idempotent: world.call.idempotent,
    keyed: false,
    deadline: world.call.deadline,
    now: world.now,
    remote: true,
  });
  const obstacle = getDispatchObstacle({
    hasSnapshot: true,
    isRegistered: true,
    confirmingView: false,
    draining: false,
    ownBackendServer: one.backendServer,
  }, { backendServer: one.backendServer, settlement: one.settlement });
  stepHandoverTry(world, one, { kind: DispatchEventKind.Arrived, obstacle });
}
