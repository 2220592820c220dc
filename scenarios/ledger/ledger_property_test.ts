import test from "ava";
import fastCheck from "fast-check";
import { match } from "ts-pattern";
import { createLedgerWorld } from "./create_ledger_simulation.ts";
import { deliverLedgerMessage } from "./deliver_ledger_message.ts";
import { endLedgerRun } from "./end_ledger_run.ts";
import { ledgerClockSkew } from "./ledger_clock_skew_milliseconds.ts";
import type { LedgerMessage } from "./ledger_message.ts";
import type { LedgerWorld } from "./ledger_simulation.ts";
import { loseLedgerMessage } from "./lose_ledger_message.ts";
import { restartLedgerNode } from "./kill_ledger_node.ts";
import { sendLedgerAttempt } from "./send_ledger_attempt.ts";

const seed = 8;
const runs = 20_000;
const actionsMaximum = 40;
const pauseMaximum = 10_000;

const position = fastCheck.nat(2);
const skew = fastCheck.integer({
  min: -ledgerClockSkew / 2,
  max: ledgerClockSkew / 2,
});
const act: fastCheck.Arbitrary<LedgerAct> = fastCheck.record({
  kind: fastCheck.constantFrom(
    ...["send", "send", "send", "send", "send"] as const,
    ...["deliver", "deliver", "deliver", "deliver", "deliver"] as const,
    ...["deliver", "deliver", "deliver", "lose", "answer", "answer"] as const,
    ...["break", "restart", "kill", "vanish", "pass", "pass"] as const,
  ),
  /** The node by rank, or the message by age. */
  at: position,
  milliseconds: fastCheck.nat(pauseMaximum),
});

interface LedgerAct {
  readonly kind:
    | "send"
    | "deliver"
    | "lose"
    | "answer"
    | "break"
    | "restart"
    | "kill"
    | "vanish"
    | "pass";
  readonly at: number;
  readonly milliseconds: number;
}

function carryOut(world: LedgerWorld, { kind, at, ...one }: LedgerAct): void {
  match(kind)
    .with("send", () => sendLedgerAttempt(world, at))
    .with("deliver", () => takeMessage(world, at, deliverLedgerMessage))
    .with("lose", () => takeMessage(world, at, loseLedgerMessage))
    .with("answer", () => endLedgerRun(world, at, true))
    .with("break", () => endLedgerRun(world, at, false))
    .with("restart", () => restartLedgerNode(world, at, true))
    .with("kill", () => restartLedgerNode(world, at, false))
    .with("vanish", () => {
      restartLedgerNode(world, at, false);
      world.goneAt.set(at, world.now);
    })
    .with("pass", () => {
      world.now += one.milliseconds;
    })
    .exhaustive();
}

function takeMessage(
  world: LedgerWorld,
  at: number,
  take: (world: LedgerWorld, message: LedgerMessage) => void,
): void {
  world.messages
    .splice(at % Math.max(1, world.messages.length), 1)
    .forEach((message) => take(world, message));
}

test("[point 8: owner dead] [point 8: owner change in a zone leaving] [point 8: repeats through other nodes] no order of attempts, deaths, restarts, lost and crossed messages runs a key twice", (t) => {
  let keysThatRan = 0;
  fastCheck.assert(
    fastCheck.property(
      fastCheck.tuple(skew, skew, skew),
      fastCheck.nat(30_000),
      fastCheck.array(act, { maxLength: actionsMaximum }),
      (skews, age, acts) => {
        const world = createLedgerWorld(skews);
        world.now += age;
        acts.forEach((one) => carryOut(world, one));
        keysThatRan += world.runs > 0 ? 1 : 0;
        return world.runs <= 1;
      },
    ),
    { seed, numRuns: runs },
  );
  t.true(keysThatRan > runs / 10, `only ${keysThatRan} keys ran`);
});
