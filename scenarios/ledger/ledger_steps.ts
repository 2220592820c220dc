import type { StepDefinition } from "../runner/step_definition.ts";
import { deliverLedgerMessage } from "./deliver_ledger_message.ts";
import { endLedgerRun } from "./end_ledger_run.ts";
import type { LedgerSimulation } from "./ledger_simulation.ts";
import { loseLedgerMessage } from "./lose_ledger_message.ts";
import { killLedgerNode } from "./kill_ledger_node.ts";
import { sendLedgerAttempt } from "./send_ledger_attempt.ts";

const ranks = ["first", "second", "third"];

/** Step definitions for the scenarios about the ledgers of one key. */
export const ledgerSteps: readonly StepDefinition<LedgerSimulation>[] = [
  {
    expression: "three ledgers that are {int} ms old",
    run(simulation, { values: [age] }) {
      simulation.now += Number(age);
    },
  },
  {
    expression: "a caller that does not send the time of its first attempt",
    run(simulation) {
      simulation.sendsFirstAttempt = false;
    },
  },
  {
    expression: "an attempt arrives at the {word} ledger",
    run: (simulation, { values: [rank] }) =>
      sendLedgerAttempt(simulation, getPosition(rank)),
  },
  {
    expression: "the run at the {word} ledger ends with a complete answer",
    run: (simulation, { values: [rank] }) =>
      endLedgerRun(simulation, getPosition(rank), true),
  },
  {
    expression: "the run at the {word} ledger ends without a complete answer",
    run: (simulation, { values: [rank] }) =>
      endLedgerRun(simulation, getPosition(rank), false),
  },
  {
    expression: "the node of the {word} ledger is killed",
    run: (simulation, { values: [rank] }) =>
      killLedgerNode(simulation, getPosition(rank), false),
  },
  {
    expression: "the node of the {word} ledger restarts",
    run: (simulation, { values: [rank] }) =>
      killLedgerNode(simulation, getPosition(rank), true),
  },
  {
    expression: "the VM of the {word} ledger is removed from the list of VMs",
    run(simulation, { values: [rank] }) {
      simulation.goneAt.set(getPosition(rank), simulation.now);
    },
  },
  {
    expression: "{int} ms pass",
    run(simulation, { values: [milliseconds] }) {
      simulation.now += Number(milliseconds);
    },
  },
  {
    expression: "every message is delivered",
    run: deliverAllMessages,
  },
  {
    expression: "the next message is delivered",
    run(simulation) {
      simulation.messages.splice(0, 1).forEach((message) =>
        deliverLedgerMessage(simulation, message)
      );
    },
  },
  {
    expression: "the next message is delivered twice",
    run(simulation) {
      simulation.messages.splice(0, 1).forEach((message) => {
        deliverLedgerMessage(simulation, message);
        deliverLedgerMessage(simulation, message);
      });
    },
  },
  {
    expression: "every message is lost",
    run(simulation) {
      simulation.messages.splice(0).forEach((message) =>
        loseLedgerMessage(simulation, message)
      );
    },
  },
  {
    expression: "the key ran {int} time(s)",
    run: (simulation, { values: [runs], assert }) =>
      void assert.is(simulation.runs, Number(runs)),
  },
  {
    expression: "the outcome of attempt {int} was {string}",
    run: (simulation, { values: [attempt, outcome], assert }) =>
      void assert.is(
        simulation.outcomes.get(`attempt-${attempt}`),
        String(outcome),
      ),
  },
];

function getPosition(rank: string | number | undefined): number {
  return ranks.indexOf(String(rank));
}

function deliverAllMessages(simulation: LedgerSimulation): void {
  const [message] = simulation.messages.splice(0, 1);
  if (message !== undefined) {
    deliverLedgerMessage(simulation, message);
    deliverAllMessages(simulation);
  }
}
