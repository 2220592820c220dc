import { createTestSnapshot } from "../../src/admission/testing/create_test_snapshot.ts";
import { ZoneState } from "../../src/configuration/zone_state.ts";
import type { BackendServerProbe } from "../../src/health/backend_server_probe.ts";
import type { StepDefinition } from "../runner/step_definition.ts";
import type { AdmissionSimulation } from "./admission_simulation.ts";
import { sendAdmissionCall } from "./send_admission_call.ts";
import { startAdmissionNode } from "./start_admission_node.ts";

/** Step definitions for the scenarios about admission to one backend server. */
export const admissionSteps: readonly StepDefinition<AdmissionSimulation>[] = [
  {
    expression: "a node beside a backend server in cold start",
    run: startAdmissionNode,
  },
  {
    expression: "a node beside a warm backend server",
    async run(simulation) {
      simulation.capacity = {
        ...simulation.capacity,
        ...getWarmState(simulation),
      };
      startAdmissionNode(simulation);
      await sendAtConstantRate(simulation, {
        count: 2000,
        milliseconds: 20_000,
      });
    },
  },
  {
    expression: "every call has a service time of {int} ms",
    run(simulation, { values: [milliseconds] }) {
      simulation.workMilliseconds = Number(milliseconds);
    },
  },
  {
    expression: "the health endpoint reports {string} from now on",
    run(simulation, { values: [state] }) {
      simulation.reportedState = state as BackendServerProbe["reportedState"];
    },
  },
  {
    expression: "{int} calls arrive at the same time",
    run(simulation, { values: [count] }) {
      Array.from(
        { length: Number(count) },
        () => sendAdmissionCall(simulation),
      );
    },
  },
  {
    expression: "{int} calls arrive over {int} ms",
    run: (simulation, { values: [count, milliseconds] }) =>
      sendAtConstantRate(simulation, {
        count: Number(count),
        milliseconds: Number(milliseconds),
      }),
  },
  {
    expression: "{int} ms pass",
    run: (simulation, { values: [milliseconds] }) =>
      simulation.environment.advanceTo(
        simulation.environment.clock.now() + Number(milliseconds),
      ),
  },
  {
    expression: "the backend server returns to cold start without notice",
    run(simulation) {
      simulation.capacity = {
        ...simulation.capacity,
        answersSinceColdStart: 0,
        overloadEvents: 0,
      };
      simulation.peakExcess = 0;
    },
  },
  {
    expression: "the backend server starts to drain",
    run(simulation) {
      simulation.capacity = { ...simulation.capacity, draining: true };
    },
  },
  {
    expression: "a version that takes the zone out is applied",
    run(simulation) {
      simulation.node?.applySnapshot(
        createTestSnapshot({
          ...simulation.register,
          zoneState: ZoneState.TakenOut,
        }),
      );
    },
  },
  {
    expression: "a version that returns the zone is applied",
    run(simulation) {
      simulation.node?.applySnapshot(createTestSnapshot(simulation.register));
    },
  },
  {
    expression: "a version that marks the backend server as leaving is applied",
    run(simulation) {
      simulation.node?.applySnapshot(
        createTestSnapshot({ ...simulation.register, leaving: true }),
      );
    },
  },
  {
    expression:
      "the backend server never received more calls than its capacity",
    run(simulation, { assert }) {
      assert.is(simulation.capacity.overloadEvents, 0);
      assert.true(
        simulation.peakExcess <= 0,
        `excess ${simulation.peakExcess}`,
      );
    },
  },
  {
    expression:
      "the backend server received at most {int} calls above its capacity",
    run(simulation, { values: [maximum], assert }) {
      assert.true(
        simulation.capacity.overloadEvents <= Number(maximum),
        `${simulation.capacity.overloadEvents} calls above the capacity`,
      );
    },
  },
  {
    expression: "the backend server did not collapse under overload",
    run: (simulation, { assert }) =>
      void assert.is(simulation.capacity.falls, 0),
  },
  {
    expression: "at least {int} calls ran",
    run(simulation, { values: [minimum], assert }) {
      const startedCalls = simulation.calls.filter((call) =>
        call.startedAt !== undefined
      );
      assert.true(
        startedCalls.length >= Number(minimum),
        `${startedCalls.length} calls ran`,
      );
    },
  },
  {
    expression: "no call started to run in the last {int} ms",
    run(simulation, { values: [milliseconds], assert }) {
      const since = simulation.environment.clock.now() - Number(milliseconds);
      const startedCalls = simulation.calls.filter((call) =>
        call.startedAt !== undefined && call.startedAt > since
      );
      assert.deepEqual(startedCalls, []);
    },
  },
  {
    expression:
      "every call that did not run was shed or refused for one of {string}",
    run(simulation, { values: [reasons], assert }) {
      const allowed = String(reasons).split(", ");
      const unexplainedCalls = simulation.calls.filter((call) =>
        call.startedAt === undefined && !call.shed &&
        !allowed.includes(call.refusalReason ?? "undecided")
      );
      assert.deepEqual(unexplainedCalls, []);
    },
  },
];

function getWarmState(simulation: AdmissionSimulation) {
  return { answersSinceColdStart: simulation.capacity.warmUpAnswers };
}

async function sendAtConstantRate(
  simulation: AdmissionSimulation,
  load: { readonly count: number; readonly milliseconds: number },
): Promise<void> {
  const { environment } = simulation;
  const startedAt = environment.clock.now();
  const intervalMilliseconds = load.milliseconds / load.count;
  const sendFrom = (index: number) => {
    environment.timers.at(startedAt + index * intervalMilliseconds, () => {
      sendAdmissionCall(simulation);
      if (index + 1 < load.count) {
        sendFrom(index + 1);
      }
    });
  };
  sendFrom(0);
  await environment.advanceTo(startedAt + load.milliseconds);
}
