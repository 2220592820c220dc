import { createTestSnapshot } from "../../src/admission/testing/create_test_snapshot.ts";
import { ZoneState } from "../../src/configuration/zone_state.ts";
import type { BackendServerProbe } from "../../src/health/backend_server_probe.ts";
import type { StepDefinition } from "../runner/step_definition.ts";
import type { AdmissionWorld } from "./admission_simulation.ts";
import { sendAdmissionCall } from "./send_admission_call.ts";
import { startAdmissionNode } from "./start_admission_node.ts";

/** The steps of the scenarios about the guard of one backend server. */
export const admissionSteps: readonly StepDefinition<AdmissionWorld>[] = [
  {
    expression: "a node beside a backend server in cold start",
    run: startAdmissionNode,
  },
  {
    expression: "a node beside a warm backend server",
    async run(world) {
      world.capacity = { ...world.capacity, ...warmth(world) };
      startAdmissionNode(world);
      await sendEvenly(world, { count: 2000, milliseconds: 20_000 });
    },
  },
  {
    expression: "every call runs {int} ms",
    run(world, { values: [milliseconds] }) {
      world.workMilliseconds = Number(milliseconds);
    },
  },
  {
    expression: "the health endpoint says {string} from now on",
    run(world, { values: [state] }) {
      world.reportedState = state as BackendServerProbe["reportedState"];
    },
  },
  {
    expression: "{int} calls arrive at once",
    run(world, { values: [count] }) {
      Array.from({ length: Number(count) }, () => sendAdmissionCall(world));
    },
  },
  {
    expression: "{int} calls arrive over {int} ms",
    run: (world, { values: [count, milliseconds] }) =>
      sendEvenly(world, {
        count: Number(count),
        milliseconds: Number(milliseconds),
      }),
  },
  {
    expression: "{int} ms pass",
    run: (world, { values: [milliseconds] }) =>
      world.environment.advanceTo(
        world.environment.clock.now() + Number(milliseconds),
      ),
  },
  {
    expression: "the backend server falls back into cold start unannounced",
    run(world) {
      world.capacity = {
        ...world.capacity,
        answersSinceColdStart: 0,
        overloadEvents: 0,
      };
      world.peakExcess = 0;
    },
  },
  {
    expression: "the backend server begins to drain",
    run(world) {
      world.capacity = { ...world.capacity, draining: true };
    },
  },
  {
    expression: "a version arrives that takes the zone out",
    run(world) {
      world.node?.applySnapshot(
        createTestSnapshot({
          ...world.register,
          zoneState: ZoneState.TakenOut,
        }),
      );
    },
  },
  {
    expression: "a version arrives that returns the zone",
    run(world) {
      world.node?.applySnapshot(createTestSnapshot(world.register));
    },
  },
  {
    expression: "a version arrives that marks the backend server as leaving",
    run(world) {
      world.node?.applySnapshot(
        createTestSnapshot({ ...world.register, leaving: true }),
      );
    },
  },
  {
    expression: "the backend server was never given more than it could bear",
    run(world, { assert }) {
      assert.is(world.capacity.overloadEvents, 0);
      assert.true(world.peakExcess <= 0, `excess ${world.peakExcess}`);
    },
  },
  {
    expression: "the backend server was given at most {int} calls too many",
    run(world, { values: [most], assert }) {
      assert.true(
        world.capacity.overloadEvents <= Number(most),
        `${world.capacity.overloadEvents} calls too many`,
      );
    },
  },
  {
    expression: "the backend server did not fall over",
    run: (world, { assert }) => void assert.is(world.capacity.falls, 0),
  },
  {
    expression: "at least {int} calls ran",
    run(world, { values: [least], assert }) {
      const ran = world.arrivals.filter((arrival) =>
        arrival.begunAt !== undefined
      );
      assert.true(ran.length >= Number(least), `${ran.length} calls ran`);
    },
  },
  {
    expression: "no call began to run in the last {int} ms",
    run(world, { values: [milliseconds], assert }) {
      const since = world.environment.clock.now() - Number(milliseconds);
      const begun = world.arrivals.filter((arrival) =>
        arrival.begunAt !== undefined && arrival.begunAt > since
      );
      assert.deepEqual(begun, []);
    },
  },
  {
    expression: "every call that did not run was refused for one of {string}",
    run(world, { values: [reasons], assert }) {
      const allowed = String(reasons).split(", ");
      const others = world.arrivals.filter((arrival) =>
        arrival.begunAt === undefined && !arrival.shed &&
        !allowed.includes(arrival.refusedFor ?? "undecided")
      );
      assert.deepEqual(others, []);
    },
  },
];

function warmth(world: AdmissionWorld) {
  return { answersSinceColdStart: world.capacity.warmUpAnswers };
}

async function sendEvenly(
  world: AdmissionWorld,
  load: { readonly count: number; readonly milliseconds: number },
): Promise<void> {
  const { environment } = world;
  const startedAt = environment.clock.now();
  const gap = load.milliseconds / load.count;
  const sendFrom = (index: number) => {
    environment.timers.at(startedAt + index * gap, () => {
      sendAdmissionCall(world);
      if (index + 1 < load.count) {
        sendFrom(index + 1);
      }
    });
  };
  sendFrom(0);
  await environment.advanceTo(startedAt + load.milliseconds);
}
