import test from "ava";
import { CallKind } from "../routing/call_kind.ts";
import { waitUntil } from "../testing/calls/wait_until.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import { scriptAllBackends } from "../testing/mesh/script_all_backends.ts";
import { sendCompleteAnswer } from "../testing/mesh/send_complete_answer.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";
import { CallEventKind } from "./call_event_kind.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

const remainingMilliseconds = 8_000;
const route = {
  kind: CallKind.NonIdempotent,
  timeoutMilliseconds: remainingMilliseconds,
  goalMilliseconds: remainingMilliseconds,
};
const options = { vms: 2, slots: 1, route, stopMilliseconds: 4_000 };
const body = "cake";

function listRuns(fleet: MeshFleet): readonly string[] {
  return fleet.backends.flatMap(({ runs }) => runs);
}

function callWith(fleet: MeshFleet, identifier: string) {
  return fleet.call(0, {
    identifier,
    method: "POST",
    body,
    remainingMilliseconds,
  });
}

/** Occupies every slot of the fleet with calls that end when `release` is called. */
async function occupySlots(fleet: MeshFleet) {
  const answers: (() => void)[] = [];
  scriptAllBackends(fleet, (request, response) => {
    answers.push(() => sendCompleteAnswer(request, response));
  });
  const calls = ["running-1", "running-2"].map((identifier) =>
    callWith(fleet, identifier)
  );
  const isOccupied = await waitUntil(() => listRuns(fleet).length === 2);
  return {
    calls,
    isOccupied,
    release: () => answers.forEach((answer) => answer()),
  };
}

function isWaiting(fleet: MeshFleet, identifier: string): boolean {
  return fleet.events.some(({ kind, call }) =>
    kind === CallEventKind.Queued && call === identifier
  );
}

// Guards against calls that a planned stop cuts without an answer: they waited
// for a slot of another node's backend server when the process ended.
serialTest(
  "a call that waits for a slot at the end of a stop is refused as not run, and never runs",
  async (t) => {
    await withMeshFleet(options, async (fleet) => {
      const occupied = await occupySlots(fleet);
      t.true(occupied.isOccupied);
      const waiting = callWith(fleet, "waiting");
      t.true(await waitUntil(() => isWaiting(fleet, "waiting")));
      const stopped = fleet.daemons[0]!.stop();
      const refused = await waiting;
      t.is(refused.status, 503);
      t.true(refused.body.includes("not-run"), refused.body);
      await stopped;
      occupied.release();
      scriptAllBackends(fleet, sendCompleteAnswer);
      t.is((await fleet.call(1, { identifier: "later" })).status, 200);
      t.false(listRuns(fleet).includes("waiting"));
      await Promise.all(occupied.calls);
    });
  },
);

// Guards against a closed connection in place of an answer that says what is
// known: a backend server may have run the call.
serialTest(
  "a call that runs at the latest end of a stop is answered that its outcome is unknown",
  async (t) => {
    await withMeshFleet(options, async (fleet) => {
      const { calls, isOccupied } = await occupySlots(fleet);
      t.true(isOccupied);
      await fleet.daemons[0]!.stop();
      const ended = await Promise.all(calls);
      t.deepEqual(ended.map(({ status }) => status), [502, 502]);
    });
  },
);

// Guards against a refusal of a call whose answer comes before the process ends.
serialTest(
  "a call that gets its slot during a stop is answered",
  async (t) => {
    await withMeshFleet(options, async (fleet) => {
      const occupied = await occupySlots(fleet);
      t.true(occupied.isOccupied);
      const waiting = callWith(fleet, "waiting");
      t.true(await waitUntil(() => isWaiting(fleet, "waiting")));
      const stopped = fleet.daemons[0]!.stop();
      scriptAllBackends(fleet, sendCompleteAnswer);
      setTimeout(occupied.release, 1_500);
      t.is((await waiting).status, 200);
      const ended = await Promise.all(occupied.calls);
      t.deepEqual(ended.map(({ status }) => status), [200, 200]);
      t.is(await stopped, 0);
    });
  },
);
