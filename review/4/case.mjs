// DRAIN: while versions of a large configuration follow each other, a node on a
// link of 10 Mbit/s hears too late that a backend is draining.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import http from "node:http";
import net from "node:net";
import { delay, freePort, limits, newAttemptId, send, Setup, trouble } from "../common/lib.mjs";
import { startBackend } from "../common/backend.mjs";

const drainMilliseconds = 2_500;
const linkMegabits = 10;
/** `idle_routes` and `big_config` of the grown site. */
const routeCount = 800 + 1_480;
/** `config_storm`: a version each 0.25 s, for 5 s. */
const stormMilliseconds = 5_000;
const versionMilliseconds = 250;
/** `release`: the backends leave one after the other. */
/** Half of the VMs leave, each second one. */
const vmCount = 12;
const leaveMilliseconds = [600, 1_000, 1_400, 1_800, 2_200, 2_600];
const requestMilliseconds = 40;
const tickMilliseconds = 10;

const setup = new Setup(dirname(fileURLToPath(import.meta.url)));
const store = await setup.startStore();

/** The link of a VM: what it receives of the store takes its time. */
async function startLink(host) {
  const bytesPerTick = linkMegabits * 1_000_000 / 8 / 1_000 * tickMilliseconds;
  const waiting = [];
  setInterval(() => {
    let room = bytesPerTick;
    while (room > 0 && waiting.length > 0) {
      const [first] = waiting;
      const part = first.bytes.subarray(0, room);
      first.client.write(part);
      room -= part.length;
      if (part.length === first.bytes.length) {
        waiting.shift();
        if (!waiting.some(({ source }) => source === first.source)) first.source.resume();
      } else first.bytes = first.bytes.subarray(part.length);
    }
  }, tickMilliseconds);
  const server = net.createServer((client) => {
    const source = net.connect(store.port, setup.storeHost);
    client.pipe(source);
    source.on("data", (bytes) => {
      source.pause();
      waiting.push({ bytes, client, source });
    });
    const close = () => {
      client.destroy();
      source.destroy();
      for (let index = waiting.length - 1; index >= 0; index -= 1) {
        if (waiting[index].client === client) waiting.splice(index, 1);
      }
    };
    client.on("error", close).on("close", close);
    source.on("error", close).on("close", () => { if (!waiting.some((entry) => entry.client === client)) close(); });
  });
  return await setup.listen(server, host);
}

const service = { healthPath: "/healthz", maxConns: 600, cold: "3s", coldPerS: 20 };
const created = Array.from({ length: routeCount }, (_, index) => [`extra-${index}`, {
  host: `mesa${index % 40}.example`, prefix: `/leny${index}/v1/`, kind: "idempotent", attempts: 2,
  timeout: "1500ms", goal: "408ms", priority: 2, service: "vitrine",
}]);
let version = 10;
function putConfiguration() {
  version += 1 + version % 3;
  store.put("op/config", {
    version,
    routes: {
      catalogo: { host: "bolo.example", prefix: "/catalogo/", kind: "idempotent", attempts: 2, timeout: `${1_500 + version}ms`, goal: "408ms", priority: 2, service: "vitrine" },
      ...Object.fromEntries(created),
    },
    services: { vitrine: service },
    limits,
  });
}
putConfiguration();
const inbound = await freePort(setup.host(1));
const vms = [];
for (let index = 0; index < vmCount; index += 1) {
  const host = setup.host(index + 1);
  const zone = `sul-${"abc"[Math.floor(index / 4)]}`;
  const backend = await startBackend(setup, { host, service: "vitrine", zone, store, slots: 8, workMilliseconds: () => 30, identifier: `i-vitrine-${index}` });
  vms.push({ host, zone, backend, linkPort: await startLink(setup.storeHost) });
}
for (const [index, vm] of vms.entries()) {
  vm.node = await setup.startNode({
    name: `sidecar-${index}`, host: vm.host, zone: vm.zone, service: "vitrine", backendPort: vm.backend.port, storePort: vm.linkPort,
    bounds: { drain: "2500ms", configApply: "2500ms", retrySlack: "220", coldSlack: "8" },
    ports: { inbound, outbound: await freePort(vm.host), ready: await freePort(vm.host) },
  });
}
for (const { node } of vms) await node.waitUntilReady();
await delay(4_000);

const agent = new http.Agent({ keepAlive: true });
let isSending = true;
const sentAt = new Map();
const clients = vms.map(async ({ host, node }) => {
  const pending = [];
  while (isSending) {
    const id = newAttemptId("c");
    sentAt.set(id, Date.now());
    pending.push(send({ host, port: node.ports.outbound, path: "/catalogo/bolos", hostHeader: "bolo.example", deadline: 3_000, id, agent }));
    await delay(requestMilliseconds);
  }
  return await Promise.all(pending);
});
await delay(500);
const startedAt = Date.now();
const acknowledged = new Map();
const events = [
  ...leaveMilliseconds.map((at, index) => ({ at, run: () => {
    const { backend } = vms[2 * index];
    backend.put("draining");
    acknowledged.set(backend.identifier, Date.now());
    setup.record(`the store acknowledges that ${backend.identifier} is draining`);
  } })),
  ...(trouble ? Array.from({ length: Math.floor(stormMilliseconds / versionMilliseconds) }, (_, index) => ({ at: index * versionMilliseconds, run: () => {
    putConfiguration();
    setup.record(`the store acknowledges version ${version}`);
  } })) : []),
].sort((left, right) => left.at - right.at);
for (const { at, run } of events) {
  await delay(Math.max(0, startedAt + at - Date.now()));
  run();
}
await delay(6_000);
isSending = false;
const answers = (await Promise.all(clients)).flat();
const lateRuns = vms.flatMap(({ backend }) => backend.runs)
  .map((run) => ({ ...run, late: run.at - (acknowledged.get(run.identifier) ?? Number.POSITIVE_INFINITY) }))
  .filter(({ late }) => late > drainMilliseconds);
for (const { id, identifier, late } of lateRuns) setup.record(`LATE: ${identifier} runs ${id} ${late} ms after its draining was acknowledged`);
const last = Object.fromEntries(vms.map(({ backend }) => {
  const at = acknowledged.get(backend.identifier);
  return [backend.identifier, at === undefined ? "stays" : Math.max(...backend.runs.map((run) => run.at)) - at];
}));
const bytes = Buffer.byteLength(JSON.stringify(created));
setup.finish(lateRuns.length > 0 ? 1 : 0,
  `${answers.length} requests, ${answers.filter(({ status }) => status === 200).length} answered 200; routes of ${bytes} bytes; last request after the acknowledgement, ms: ${JSON.stringify(last)}; ${lateRuns.length} requests later than ${drainMilliseconds} ms`);
