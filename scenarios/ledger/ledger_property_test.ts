import test from "ava";
import fastCheck from "fast-check";
import { createLedgerWorld } from "./create_ledger_world.ts";
import { deliverLedgerMessage } from "./deliver_ledger_message.ts";
import { endLedgerRun } from "./end_ledger_run.ts";
import { ledgerClockSkew } from "./ledger_clock_skew.ts";
import type { LedgerWorld } from "./ledger_world.ts";
import { loseLedgerMessage } from "./lose_ledger_message.ts";
import { restartLedgerNode } from "./restart_ledger_node.ts";
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
const act = fastCheck.oneof(
  { weight: 4, arbitrary: position.map((at) => sendAt(at)) },
  { weight: 8, arbitrary: fastCheck.nat(5).map((index) => deliver(index)) },
  { weight: 1, arbitrary: fastCheck.nat(5).map((index) => lose(index)) },
  { weight: 2, arbitrary: position.map((at) => end(at, true)) },
  { weight: 1, arbitrary: position.map((at) => end(at, false)) },
  { weight: 1, arbitrary: position.map((at) => restart(at, true)) },
  { weight: 1, arbitrary: position.map((at) => restart(at, false)) },
  { weight: 1, arbitrary: position.map((at) => vanish(at)) },
  { weight: 2, arbitrary: fastCheck.nat(pauseMaximum).map((ms) => pass(ms)) },
);

type Act = (world: LedgerWorld) => void;

function sendAt(at: number): Act {
  return (world) => sendLedgerAttempt(world, at);
}

function deliver(index: number): Act {
  return (world) =>
    world.messages.splice(index % Math.max(1, world.messages.length), 1)
      .forEach((message) => deliverLedgerMessage(world, message));
}

function lose(index: number): Act {
  return (world) =>
    world.messages.splice(index % Math.max(1, world.messages.length), 1)
      .forEach((message) => loseLedgerMessage(world, message));
}

function end(at: number, whole: boolean): Act {
  return (world) => endLedgerRun(world, at, whole);
}

function restart(at: number, again: boolean): Act {
  return (world) => restartLedgerNode(world, at, again);
}

/** Kills a node for good and lets the platform's list show it. */
function vanish(at: number): Act {
  return (world) => {
    restartLedgerNode(world, at, false);
    world.goneAt.set(at, world.now);
  };
}

function pass(milliseconds: number): Act {
  return (world) => {
    world.now += milliseconds;
  };
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
        acts.forEach((one) => one(world));
        keysThatRan += world.runs > 0 ? 1 : 0;
        return world.runs <= 1;
      },
    ),
    { seed, numRuns: runs },
  );
  t.true(keysThatRan > runs / 10, `only ${keysThatRan} keys ran`);
});
