import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { VmState } from "../platform/vm_state.ts";
import { systemClock } from "../runtime/system_clock.ts";
import { createPlatformClient } from "./create_platform_client.ts";

const host = "127.0.0.1";
const deadline = Date.now() + 60_000;
const vm = {
  vm: "vm-1",
  zone: "sul-a",
  region: "sul",
  nodeAddress: { host, port: 7001 },
  state: VmState.Live,
};

async function withPlatform<Value>(
  responses: Readonly<
    Record<string, { readonly status: number; readonly body: string }>
  >,
  useClient: (
    client: ReturnType<typeof createPlatformClient>,
  ) => Promise<Value>,
): Promise<Value> {
  const server: Server = createServer((request, response) => {
    const canned = responses[request.url ?? ""];
    response.writeHead(canned?.status ?? 500).end(canned?.body);
  });
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  const { port } = server.address() as AddressInfo;
  const client = createPlatformClient({
    address: { host, port },
    clock: systemClock,
  });
  try {
    return await useClient(client);
  } finally {
    await client.close();
    server.close();
  }
}

test("createPlatformClient() reads, watches and lists VMs, and counts each request as one read", async (t) => {
  await withPlatform({
    "/values/configuration": {
      status: 200,
      body: '{"revision":7,"value":"text"}',
    },
    [`/values/configuration?after=7&until=${deadline}`]: {
      status: 204,
      body: "",
    },
    [`/values/configuration?after=6&until=${deadline}`]: {
      status: 200,
      body: '{"revision":7,"value":"text"}',
    },
    "/vms": { status: 200, body: JSON.stringify({ vms: [vm] }) },
  }, async (client) => {
    const value = { revision: 7, text: "text" };
    const read = await client.readConfiguration({ deadline });
    t.deepEqual(read.unwrapOr(undefined), value);
    const unchanged = await client.watchConfiguration(7, { deadline });
    t.true(unchanged.isOk);
    t.is(unchanged.unwrapOr(value), undefined);
    const changed = await client.watchConfiguration(6, { deadline });
    t.deepEqual(changed.unwrapOr(undefined), value);
    const listed = await client.listVms({ deadline });
    t.deepEqual(listed.unwrapOr([]), [vm]);
    t.is(client.getReadCount(), 4);
  });
});

test("createPlatformClient() returns undefined if no configuration is published", async (t) => {
  await withPlatform({
    "/values/configuration": { status: 404, body: "" },
  }, async (client) => {
    const read = await client.readConfiguration({ deadline });
    t.true(read.isOk);
    t.is(read.unwrapOr({ revision: 0, text: "" }), undefined);
  });
});

test("createPlatformClient() reports what is invalid in a response", async (t) => {
  await withPlatform({
    "/values/configuration": { status: 200, body: '{"revision":"7"' },
    "/vms": {
      status: 200,
      body: JSON.stringify({ vms: [{ ...vm, state: "sleeping" }] }),
    },
  }, async (client) => {
    const truncated = await client.readConfiguration({ deadline });
    t.is(
      truncated.isErr && truncated.error.code,
      DiagnosticCode.PlatformResponseInvalid,
    );
    const listed = await client.listVms({ deadline });
    t.is(listed.isErr && listed.error.found, 'vms[0].state "sleeping"');
    const refused = await client.watchConfiguration(1, { deadline });
    t.is(refused.isErr && refused.error.found, "status 500");
  });
});

test("createPlatformClient() reports an unreachable platform", async (t) => {
  const client = createPlatformClient({
    address: { host, port: 1 },
    clock: systemClock,
  });
  const read = await client.readConfiguration({ deadline });
  t.is(read.isErr && read.error.code, DiagnosticCode.PlatformUnreachable);
  await client.close();
});
