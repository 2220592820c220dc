import test from "ava";
import fastCheck from "fast-check";
import { match } from "ts-pattern";
import { createLedgerSimulation } from "./create_ledger_simulation.ts";
import { deliverLedgerMessage } from "./deliver_ledger_message.ts";
import { endLedgerRun } from "./end_ledger_run.ts";
import { ledgerClockSkewMilliseconds } from "./ledger_clock_skew_milliseconds.ts";
import type { LedgerMessage } from "./ledger_message.ts";
import type { LedgerSimulation } from "./ledger_simulation.ts";
import { loseLedgerMessage } from "./lose_ledger_message.ts";
import { killLedgerNode } from "./kill_ledger_node.ts";
import { sendLedgerAttempt } from "./send_ledger_attempt.ts";

const seed = 8;
const runs = 20_000;
const actionsMaximum = 40;
const delayMaximumMilliseconds = 10_000;

const positionArbitrary = fastCheck.nat(2);
const skewArbitrary = fastCheck.integer({
  min: -ledgerClockSkewMilliseconds / 2,
  max: ledgerClockSkewMilliseconds / 2,
});
const actionArbitrary: fastCheck.Arbitrary<LedgerAction> = fastCheck.record({
  kind: fastCheck.constantFrom(
    ...["send", "send", "send", "send", "send"] as const,
    ...["deliver", "deliver", "deliver", "deliver", "deliver"] as const,
    ...["deliver", "deliver", "deliver", "lose", "answer", "answer"] as const,
    ...["fail", "restart", "kill", "remove-vm", "pass", "pass"] as const,
  ),
  /** Position in rank of the node, or index of the message from the oldest. */
  at: positionArbitrary,
  milliseconds: fastCheck.nat(delayMaximumMilliseconds),
});

/** A random event in the simulation: `fail` ends a run without a complete answer, `pass` advances the time. */
interface LedgerAction {
  readonly kind:
    | "send"
    | "deliver"
    | "lose"
    | "answer"
    | "fail"
    | "restart"
    | "kill"
    | "remove-vm"
    | "pass";
  readonly at: number;
  readonly milliseconds: number;
}

function applyAction(
  simulation: LedgerSimulation,
  { kind, at, ...rest }: LedgerAction,
): void {
  match(kind)
    .with("send", () => sendLedgerAttempt(simulation, at))
    .with("deliver", () => processMessage(simulation, at, deliverLedgerMessage))
    .with("lose", () => processMessage(simulation, at, loseLedgerMessage))
    .with("answer", () => endLedgerRun(simulation, at, true))
    .with("fail", () => endLedgerRun(simulation, at, false))
    .with("restart", () => killLedgerNode(simulation, at, true))
    .with("kill", () => killLedgerNode(simulation, at, false))
    .with("remove-vm", () => {
      killLedgerNode(simulation, at, false);
      simulation.goneAt.set(at, simulation.now);
    })
    .with("pass", () => {
      simulation.now += rest.milliseconds;
    })
    .exhaustive();
}

function processMessage(
  simulation: LedgerSimulation,
  index: number,
  process: (simulation: LedgerSimulation, message: LedgerMessage) => void,
): void {
  simulation.messages
    .splice(index % Math.max(1, simulation.messages.length), 1)
    .forEach((message) => process(simulation, message));
}

test("[point 8: owner dead] [point 8: owner change in a zone leaving] [point 8: repeats through other nodes] no order of attempts, killed nodes, restarts, and lost or reordered messages runs a key twice", (t) => {
  let keysThatRan = 0;
  fastCheck.assert(
    fastCheck.property(
      fastCheck.tuple(skewArbitrary, skewArbitrary, skewArbitrary),
      fastCheck.nat(30_000),
      fastCheck.array(actionArbitrary, { maxLength: actionsMaximum }),
      (skews, age, actions) => {
        const simulation = createLedgerSimulation(skews);
        simulation.now += age;
        actions.forEach((action) => applyAction(simulation, action));
        keysThatRan += simulation.runs > 0 ? 1 : 0;
        return simulation.runs <= 1;
      },
    ),
    { seed, numRuns: runs },
  );
  t.true(keysThatRan > runs / 10, `only ${keysThatRan} keys ran`);
});
