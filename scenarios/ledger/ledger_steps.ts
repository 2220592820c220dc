import type { StepDefinition } from "../runner/step_definition.ts";
import { deliverLedgerMessage } from "./deliver_ledger_message.ts";
import { endLedgerRun } from "./end_ledger_run.ts";
import type { LedgerWorld } from "./ledger_simulation.ts";
import { loseLedgerMessage } from "./lose_ledger_message.ts";
import { restartLedgerNode } from "./kill_ledger_node.ts";
import { sendLedgerAttempt } from "./send_ledger_attempt.ts";

const ranks = ["first", "second", "third"];

/** The steps of the scenarios about the ledgers of one key. */
export const ledgerSteps: readonly StepDefinition<LedgerWorld>[] = [
  {
    expression: "three ledgers that are {int} ms old",
    run(world, { values: [age] }) {
      world.now += Number(age);
    },
  },
  {
    expression: "a caller that does not tell when it first tried",
    run(world) {
      world.tellsFirstAttempt = false;
    },
  },
  {
    expression: "an attempt arrives at the {word} ledger",
    run: (world, { values: [rank] }) => sendLedgerAttempt(world, at(rank)),
  },
  {
    expression: "the run at the {word} ledger is answered",
    run: (world, { values: [rank] }) => endLedgerRun(world, at(rank), true),
  },
  {
    expression: "the run at the {word} ledger gives no whole answer",
    run: (world, { values: [rank] }) => endLedgerRun(world, at(rank), false),
  },
  {
    expression: "the node of the {word} ledger is killed",
    run: (world, { values: [rank] }) =>
      restartLedgerNode(world, at(rank), false),
  },
  {
    expression: "the node of the {word} ledger starts again",
    run: (world, { values: [rank] }) =>
      restartLedgerNode(world, at(rank), true),
  },
  {
    expression: "the VM of the {word} ledger is gone from the list",
    run(world, { values: [rank] }) {
      world.goneAt.set(at(rank), world.now);
    },
  },
  {
    expression: "{int} ms pass",
    run(world, { values: [span] }) {
      world.now += Number(span);
    },
  },
  {
    expression: "every message is delivered",
    run: deliverAll,
  },
  {
    expression: "the next message is delivered",
    run(world) {
      world.messages.splice(0, 1).forEach((message) =>
        deliverLedgerMessage(world, message)
      );
    },
  },
  {
    expression: "the next message is delivered twice",
    run(world) {
      world.messages.splice(0, 1).forEach((message) => {
        deliverLedgerMessage(world, message);
        deliverLedgerMessage(world, message);
      });
    },
  },
  {
    expression: "every message is lost",
    run(world) {
      world.messages.splice(0).forEach((message) =>
        loseLedgerMessage(world, message)
      );
    },
  },
  {
    expression: "the key ran {int} time(s)",
    run: (world, { values: [runs], assert }) =>
      void assert.is(world.runs, Number(runs)),
  },
  {
    expression: "attempt {int} was told {string}",
    run: (world, { values: [attempt, told], assert }) =>
      void assert.is(world.outcomes.get(`attempt-${attempt}`), String(told)),
  },
];

function at(rank: string | number | undefined): number {
  return ranks.indexOf(String(rank));
}

function deliverAll(world: LedgerWorld): void {
  const [message] = world.messages.splice(0, 1);
  if (message !== undefined) {
    deliverLedgerMessage(world, message);
    deliverAll(world);
  }
}
