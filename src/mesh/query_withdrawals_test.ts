import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { SourceValueKind } from "../source/source_value_kind.ts";
import { createLoneNode } from "../testing/mesh/create_lone_node.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { createSampleSettings } from "../testing/mesh/create_sample_settings.ts";
import { applySourceReading } from "./apply_source_reading.ts";
import { confirmRules } from "./confirm_rules.ts";
import { listWithdrawals } from "./list_withdrawals.ts";
import type { MeshNode } from "./mesh_node.ts";
import { queryWithdrawals } from "./query_withdrawals.ts";
import { readClocks } from "./read_clocks.ts";

const host = "127.0.0.9";

/** Creates a node that has read the source in `era`, with one neighbour. */
function createNode(era: number, port: number): MeshNode {
  const sample = createSampleSettings();
  const node = createLoneNode({
    ...sample,
    listeners: { ...sample.listeners, nodes: { host, port } },
  });
  const entry = createSampleEntry({
    address: { host, port: 1 },
    zone: sample.zone,
  });
  const fact = { kind: SourceValueKind.BackendServer, entry } as const;
  applySourceReading(node.view, {
    items: [{ key: "server", revision: 1, fact }],
    era,
    revision: 1,
  }, { complete: true, now: node.clock.now() });
  confirmRules(node, readClocks(node));
  return node;
}

/** Starts the listener of a neighbour that has read the source in `era`; returns its port. */
async function startNeighbour(
  t: ExecutionContext,
  era: number,
): Promise<number> {
  const neighbour = createNode(era, 0);
  const server = createServer((_request, response) => {
    const withdrawals = listWithdrawals(neighbour, { era: 1, rulesVersion: 0 });
    response.end(JSON.stringify(withdrawals));
  }).listen(0, host);
  await once(server, "listening");
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

[
  { neighbourEra: 1, isConfirmed: true },
  { neighbourEra: 0, isConfirmed: false },
].forEach(({ neighbourEra, isConfirmed }) =>
  test(`the rules of a node that starts in era 1 remain confirmed: ${isConfirmed}, with a neighbour in era ${neighbourEra}`, async (t) => {
    const node = createNode(1, await startNeighbour(t, neighbourEra));
    await queryWithdrawals(node);
    t.is(node.rulesConfirmation.confirmedAt !== undefined, isConfirmed);
    confirmRules(node, readClocks(node));
    t.is(node.rulesConfirmation.confirmedAt !== undefined, isConfirmed);
  })
);
