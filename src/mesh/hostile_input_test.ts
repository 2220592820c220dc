import test from "ava";
import fc from "fast-check";
import { once } from "node:events";
import { connect } from "node:net";
import type { NetworkAddress } from "../runtime/network_address.ts";
import { CallKind } from "../routing/call_kind.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import { startMeshFleet } from "../testing/mesh/start_mesh_fleet.ts";
import { OfferHeader } from "./offer_header.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

const seed = 1;
const answerRuns = 400;
const requestRuns = 400;
const quietMilliseconds = 40;

const printable = fc.string({ unit: "binary-ascii", maxLength: 40 });
const headerName = fc.constantFrom(
  "content-length",
  "transfer-encoding",
  "connection",
  "keep-alive",
  "upgrade",
  "x-other",
  MeshHeader.Call,
  MeshHeader.Signature,
  MeshHeader.NotRun,
  MeshHeader.Cold,
  MeshHeader.Identifier,
  OfferHeader.Offer,
  OfferHeader.Reply,
  OfferHeader.Feed,
);
const headerValue = fc.oneof(
  printable,
  fc.constantFrom("0", "5", "-1", "1e9", "chunked", "close", "{}", "null"),
  fc.string({ unit: "binary", maxLength: 10 }),
);
const headerLines = fc.array(fc.tuple(headerName, headerValue), {
  maxLength: 6,
}).map((headers) =>
  headers.map(([name, value]) => `${name}: ${value}\r\n`).join("")
);
const body = fc.oneof(printable, fc.constant("5\r\nhello\r\n0\r\n\r\n"));

const answers = fc.record({
  status: fc.oneof(
    fc.nat(999).map((status) => String(status).padStart(3, "0")),
    fc.constantFrom("099", "000", "100", "101", "204", "304", "20", "abc"),
  ),
  lines: headerLines,
  body,
  isNamed: fc.boolean(),
});

const requests = fc.record({
  method: fc.constantFrom("GET", "POST", "CONNECT", "OPTIONS", "PRI", "x"),
  target: fc.oneof(
    fc.constantFrom("/cakes/1", "*", "//", "/cakes/%", "http://[", "/\u0000"),
    printable,
  ),
  lines: headerLines,
  body,
});

/** Sends bytes and resolves soon after the other side has handled them. */
async function sendBytes(address: NetworkAddress, text: string): Promise<void> {
  const socket = connect(address.port, address.host);
  socket.on("error", () => undefined);
  socket.resume();
  socket.setTimeout(quietMilliseconds, () => socket.destroy());
  socket.write(text);
  await once(socket, "close");
}

async function answersCalls(fleet: MeshFleet): Promise<boolean> {
  const { status, body: text } = await fleet.call(0, { identifier: "check" });
  return status === 200 && text === "answer to check";
}

serialTest(
  "whatever a backend server answers, the node serves the next call and passes on nothing unsigned as a success",
  async (t) => {
    const route = { kind: CallKind.NonIdempotent, timeoutMilliseconds: 150 };
    const fleet = await startMeshFleet({ vms: 1, route });
    const script = fleet.backends[0]!.script;
    await fc.assert(
      fc.asyncProperty(answers, async (answer) => {
        fleet.backends[0]!.script = (request) => {
          const call = request.headers[MeshHeader.Call];
          const named = answer.isNamed
            ? `${MeshHeader.Call}: ${call}\r\n${MeshHeader.Signature}: x\r\n`
            : "";
          request.socket.end(
            `HTTP/1.1 ${answer.status} X\r\n${named}${answer.lines}\r\n${answer.body}`,
            "latin1",
          );
        };
        const { status } = await fleet.call(0, { method: "POST" });
        if (status === 200 && !answer.isNamed) return false;
        fleet.backends[0]!.script = script;
        return await answersCalls(fleet);
      }),
      { numRuns: answerRuns, seed },
    );
    t.pass();
    await fleet.close();
  },
);

(["callers", "nodes", "readiness"] as const).forEach((listener) =>
  serialTest(
    `whatever is sent to the listener for ${listener}, the node serves the next call`,
    async (t) => {
      const fleet = await startMeshFleet({ vms: 1 });
      const address = fleet.settings[0]!.listeners[listener];
      await fc.assert(
        fc.asyncProperty(requests, async ({ method, target, lines, body }) => {
          await sendBytes(
            address,
            `${method} ${target} HTTP/1.1\r\nhost: shop.example\r\n${lines}\r\n${body}`,
          );
          return await answersCalls(fleet);
        }),
        { numRuns: requestRuns, seed },
      );
      t.pass();
      await fleet.close();
    },
  )
);
