import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { waitUntil } from "../testing/calls/wait_until.ts";
import { connectPipelinedCaller } from "../testing/mesh/connect_pipelined_caller.ts";
import { countRuns } from "../testing/mesh/count_runs.ts";
import { formatPipelinedRequest } from "../testing/mesh/format_pipelined_request.ts";
import type { MeshBackendScript } from "../testing/mesh/mesh_backend_script.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import type { PipelinedCaller } from "../testing/mesh/pipelined_caller.ts";
import { scriptAllBackends } from "../testing/mesh/script_all_backends.ts";
import { sendCompleteAnswer } from "../testing/mesh/send_complete_answer.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

/** More than a node holds before it forwards an answer as it arrives. */
const largePartBytes = 4_194_304;

const identifiers = ["first", "second", "third", "fourth"];

function connectCaller(fleet: MeshFleet): Promise<PipelinedCaller> {
  return connectPipelinedCaller(fleet.settings[0]!.listeners.callers);
}

/** Answers each call after a delay of its own. */
function answerAfter(
  milliseconds: Readonly<Record<string, number>>,
): MeshBackendScript {
  return (request, response) => {
    const call = request.headers[MeshHeader.Call]?.toString() ?? "";
    setTimeout(
      () => sendCompleteAnswer(request, response),
      milliseconds[call] ?? 0,
    );
  };
}

function countCancelled(fleet: MeshFleet): number {
  return fleet.backends.reduce((sum, { cancelled }) => sum + cancelled, 0);
}

// Guards against answers that reach the caller in the order in which they are ready.
serialTest(
  "answers keep the order of the requests, also if the first one is the slowest",
  async (t) => {
    await withMeshFleet({ vms: 2 }, async (fleet) => {
      scriptAllBackends(fleet, answerAfter({ first: 150, second: 60 }));
      const caller = await connectCaller(fleet);
      caller.send(...identifiers);
      await waitUntil(() => caller.answered().length === identifiers.length);
      t.deepEqual(caller.answered(), identifiers);
    });
  },
);

// Guards against work for callers that have left, and against a node that counts
// their calls as running for ever and is killed at the end of its stop.
serialTest(
  "a caller that leaves cancels all of its requests, and the node stops at once",
  async (t) => {
    await withMeshFleet({ vms: 1, stopMilliseconds: 6_000 }, async (fleet) => {
      scriptAllBackends(fleet, () => undefined);
      const caller = await connectCaller(fleet);
      caller.send(...identifiers);
      await waitUntil(() => countRuns(fleet) === identifiers.length);
      caller.reset();
      t.true(await waitUntil(() => countCancelled(fleet) === 4));
      t.is(await fleet.daemons[0]!.stop(), 0);
    });
  },
);

// Guards against a planned stop that cuts requests behind the first response.
serialTest(
  "a node that stops answers all requests that it has passed on",
  async (t) => {
    await withMeshFleet({ vms: 2, stopMilliseconds: 6_000 }, async (fleet) => {
      const slow = Object.fromEntries(
        identifiers.map((identifier, index) => [identifier, 300 + index * 80]),
      );
      scriptAllBackends(fleet, answerAfter(slow));
      const caller = await connectCaller(fleet);
      caller.send(...identifiers);
      await waitUntil(() => countRuns(fleet) === identifiers.length);
      const stopped = fleet.daemons[0]!.stop();
      await waitUntil(() => caller.isClosed());
      t.deepEqual(caller.answered(), identifiers);
      t.is(await stopped, 0);
    });
  },
);

// Guards against an answer to one request that the caller takes for that of
// another.
serialTest(
  "bytes that are no request are refused after the answers to the requests before them",
  async (t) => {
    await withMeshFleet({ vms: 1 }, async (fleet) => {
      scriptAllBackends(fleet, answerAfter({ first: 100, second: 200 }));
      const caller = await connectCaller(fleet);
      caller.send("first", "second");
      caller.sendText("no request\r\n\r\n");
      await waitUntil(() => caller.isClosed());
      t.deepEqual(caller.answered(), ["first", "second"]);
      t.deepEqual(caller.statuses(), [200, 200, 400]);
    });
  },
);

// Guards against one connection that takes the slots of all other callers.
serialTest(
  "a caller that sends 40 requests at once has 8 of them in work, and gets all answers",
  async (t) => {
    await withMeshFleet({ vms: 1, slots: 50 }, async (fleet) => {
      let running = 0;
      let mostRunning = 0;
      scriptAllBackends(fleet, (request, response) => {
        running += 1;
        mostRunning = Math.max(mostRunning, running);
        void delay(30).then(() => {
          running -= 1;
          sendCompleteAnswer(request, response);
        });
      });
      const sent = Array.from({ length: 40 }, (_, index) => `call-${index}`);
      const caller = await connectCaller(fleet);
      caller.send(...sent);
      await waitUntil(() => caller.answered().length === sent.length);
      t.deepEqual(caller.answered(), sent);
      t.true(mostRunning <= 8);
    });
  },
);

// Guards against a caller that fills the memory with requests that wait.
serialTest(
  "of 400 requests that a caller sends at once, those beyond a bound are refused as not run, in their turn",
  async (t) => {
    await withMeshFleet({ vms: 1, slots: 50 }, async (fleet) => {
      scriptAllBackends(fleet, answerAfter({ "call-0": 200 }));
      const sent = Array.from({ length: 400 }, (_, index) => `call-${index}`);
      const caller = await connectCaller(fleet);
      caller.send(...sent);
      await waitUntil(() => caller.statuses().length === sent.length);
      const statuses = caller.statuses();
      const refused = statuses.filter((status) => status === 503).length;
      t.is(statuses.length, sent.length);
      t.is(countRuns(fleet), sent.length - refused);
      t.true(refused > 0);
      t.deepEqual(
        caller.answered(),
        sent.filter((_, index) => statuses[index] === 200),
      );
    });
  },
);

// Guards against work whose answer can never be sent.
serialTest(
  "behind an answer that ends its connection no request is begun, and work on those behind is cancelled",
  async (t) => {
    await withMeshFleet({ vms: 1, slots: 50 }, async (fleet) => {
      scriptAllBackends(fleet, (request, response) => {
        if (request.headers[MeshHeader.Call] !== "call-0") return;
        sendUnframedAnswer(request, response);
      });
      const sent = Array.from({ length: 20 }, (_, index) => `call-${index}`);
      const caller = await connectCaller(fleet);
      caller.send(...sent);
      await waitUntil(() => caller.isClosed());
      t.deepEqual(caller.answered(), ["call-0"]);
      // The backend server that ends its connection counts its own answer too.
      t.true(await waitUntil(() => countCancelled(fleet) === 8));
      t.is(countRuns(fleet), 8);
    });
  },
);

serialTest(
  "behind an answer that breaks off while it waits for its turn, work is cancelled and none is begun",
  async (t) => {
    await withMeshFleet({ vms: 1, slots: 50 }, async (fleet) => {
      scriptAllBackends(fleet, (request, response) => {
        if (request.headers[MeshHeader.Call] !== "call-1") return;
        sendLargePart(request, response);
      });
      const sent = Array.from({ length: 20 }, (_, index) => `call-${index}`);
      const caller = await connectCaller(fleet);
      caller.send("call-0");
      caller.sendText(
        formatPipelinedRequest("call-1", { remainingMilliseconds: 400 }),
      );
      caller.send(...sent.slice(2));
      // The answer that breaks off at its deadline is cancelled too.
      t.true(await waitUntil(() => countCancelled(fleet) === 7));
      t.is(countRuns(fleet), 8);
      t.false(caller.isClosed());
      t.deepEqual(caller.statuses(), []);
    });
  },
);

/** Sends the head and the first part of a large answer. */
function sendLargePart(
  ...[request, response]: Parameters<MeshBackendScript>
): void {
  response.writeHead(200, {
    [MeshHeader.Call]: request.headers[MeshHeader.Call]?.toString() ?? "",
    [MeshHeader.Signature]: "signed",
    "content-length": String(8 * largePartBytes),
  });
  response.write(Buffer.alloc(largePartBytes));
}

function sendUnframedAnswer(
  ...[request, response]: Parameters<MeshBackendScript>
): void {
  const call = request.headers[MeshHeader.Call]?.toString() ?? "";
  response.socket?.end([
    "HTTP/1.1 200 OK",
    `${MeshHeader.Call}: ${call}`,
    `${MeshHeader.Signature}: signed`,
    "",
    "body without a length",
  ].join("\r\n"));
}
