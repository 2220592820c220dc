import { createOfflineNode } from "../mesh/create_offline_node.ts";
import type { ChooseOption } from "./choose_option.ts";
import { createModelledBackend } from "./create_modelled_backend.ts";
import { createModelledCaller } from "./create_modelled_caller.ts";
import { createModelledGate } from "./create_modelled_gate.ts";
import { createModelledNetwork } from "./create_modelled_network.ts";

const now = 1_000_000;
const callIdentifier = "order";

/** What a caller was told, and what happened at the backend server. */
interface RefusalModelResult {
  /** Undefined if the call has no response. */
  readonly status: number | undefined;
  readonly runs: number;
  /** What was chosen, in order. */
  readonly steps: readonly string[];
}

/**
 * Runs one call from a node through the node beside a backend server until no
 * message is in transit. Which message arrives next, what the backend server does
 * with a request and when something is interrupted are chosen by `choose`.
 */
export function runRefusalModel(
  choose: ChooseOption,
  options: { readonly interruptionsMaximum: number },
): RefusalModelResult {
  const time = {
    clock: { now: () => now },
    timers: { at: () => ({ cancel: () => undefined }) },
  };
  const createNode = () => createOfflineNode(time);
  const network = createModelledNetwork();
  const backend = createModelledBackend({ network, choose });
  const gate = createModelledGate({
    network,
    backend,
    callIdentifier,
    createNode,
    isOccupied: choose(2) === 1,
  });
  const caller = createModelledCaller({
    node: createNode(),
    network,
    gate,
    callIdentifier,
  });
  const interruptions = new Map([
    ["the caller cancels", caller.cancel],
    ["the caller's node stops", caller.stop],
    ["the connection is lost", caller.loseConnection],
    ["the gate's node restarts", () => {
      gate.restart();
      caller.loseConnection();
    }],
  ]);
  const interruptionCount = interruptions.size;
  const steps: string[] = [];

  function listActions(): readonly (readonly [string, () => void])[] {
    const messages = network.listChannels().map((channel) =>
      [channel, () => network.deliver(channel)] as const
    );
    const isInterruptible = caller.getStatus() === undefined &&
      interruptionCount - interruptions.size < options.interruptionsMaximum;
    return [
      ...messages,
      ...(gate.isOccupied()
        ? [["the slot is free", gate.freeSlot] as const]
        : []),
      ...(isInterruptible ? Array.from(interruptions) : []),
    ];
  }

  // A loop, since each action decides which ones follow.
  for (
    let actions = listActions();
    actions.length > 0;
    actions = listActions()
  ) {
    const [step, act] = actions[choose(actions.length)]!;
    interruptions.delete(step);
    steps.push(step);
    act();
  }
  return { status: caller.getStatus(), runs: backend.countRuns(), steps };
}
