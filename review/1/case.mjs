// LOST: a node that is stopped closes the connections of requests that still
// wait for a slot of a backend server.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import http from "node:http";
import { delay, freePort, getStatus, limits, newAttemptId, send, Setup, trouble } from "../common/lib.mjs";
import { startBackend } from "../common/backend.mjs";

const graceMilliseconds = 6_000;
const lossSlackMilliseconds = 200;
/** The platform asks for readiness once per second; clients leave after two misses. */
const pollMilliseconds = 1_000;
/** Deadline of the client and timeout of the route, as of `extrato`. */
const deadlineMilliseconds = 8_000;
const workMilliseconds = 480;
const slots = 6;
/** A steady load from the start to the second miss, beyond the 12.5 a second of the slots. */
const requestMilliseconds = 50;
const loadMilliseconds = 14_000;
/** As long as it takes until the second miss, where nothing is stopped. */
const calmMilliseconds = 2_000;

const setup = new Setup(dirname(fileURLToPath(import.meta.url)));
const store = await setup.startStore();
const hostOf = { vitrine: setup.host(1), repasses: setup.host(2) };
const inbound = await freePort(hostOf.vitrine);
const service = { healthPath: "/healthz", maxConns: 120, cold: "3s", coldPerS: 20 };
store.put("op/config", {
  version: 7,
  routes: {
    extrato: {
      host: "bolo.example",
      prefix: "/extrato/",
      kind: "non_idempotent",
      attempts: 2,
      timeout: `${deadlineMilliseconds}ms`,
      goal: "1200ms",
      priority: 2,
      service: "repasses",
    },
  },
  services: { vitrine: service, repasses: service },
  limits,
});
const backends = {};
for (const [name, host] of Object.entries(hostOf)) {
  backends[name] = await startBackend(setup, {
    host,
    service: name,
    zone: "sul-a",
    store,
    slots,
    workMilliseconds: () => workMilliseconds,
  });
}
const nodes = {};
for (const [name, host] of Object.entries(hostOf)) {
  nodes[name] = await setup.startNode({
    name: `sidecar-${name}`,
    host,
    zone: "sul-a",
    service: name,
    backendPort: backends[name].port,
    storePort: store.port,
    ports: { inbound, outbound: await freePort(host), ready: await freePort(host) },
  });
}
for (const node of Object.values(nodes)) await node.waitUntilReady();
await delay(1_500);

const agent = new http.Agent({ keepAlive: true });
const request = (label) => {
  const id = newAttemptId(label);
  const sentAt = Date.now();
  setup.record(`client sends ${id}`);
  return send({
    host: hostOf.vitrine,
    port: nodes.vitrine.ports.outbound,
    path: "/extrato/conta",
    method: "POST",
    body: "linha",
    hostHeader: "bolo.example",
    deadline: deadlineMilliseconds,
    id,
    agent,
  }).then((answer) => {
    const endedAt = Date.now();
    setup.record(
      `client gets for ${id} after ${endedAt - sentAt} ms: ${answer.error ?? answer.status}`,
    );
    return { id, sentAt, endedAt, answer };
  });
};

let misses = 0;
const poll = async () => {
  const status = await getStatus(hostOf.vitrine, nodes.vitrine.ports.ready);
  misses = status === 200 ? 0 : misses + 1;
  setup.record(`platform asks /readyz: ${status ?? "no answer"}, misses in a row ${misses}`);
};
setInterval(poll, pollMilliseconds);
const results = [];
async function sendUntil(isOver) {
  while (!isOver()) {
    results.push(request("r"));
    await delay(requestMilliseconds);
  }
}
const loadUntil = Date.now() + loadMilliseconds;
await sendUntil(() => Date.now() >= loadUntil);
const stoppedAt = Date.now();
if (trouble) nodes.vitrine.signal("SIGTERM");
await sendUntil(() => misses >= 2 || Date.now() >= stoppedAt + calmMilliseconds);
setup.record("the clients of the machine send nothing more");
const ended = await Promise.all(results);

const lost = ended.filter(({ id, sentAt, endedAt, answer }) => {
  if (answer.status !== undefined && answer.error === undefined) return false;
  if (endedAt - sentAt <= lossSlackMilliseconds) return false;
  if (endedAt - sentAt >= deadlineMilliseconds * 0.7) return false;
  if (endedAt > stoppedAt + graceMilliseconds + 1_000) return false;
  // Excused: the backend was at work in the last sixth of `grace`.
  const run = backends.repasses.runs.find((found) => found.id === id);
  return run === undefined;
});
const answered = ended.filter(({ answer }) => answer.status === 200).length;
const refused = ended.filter(({ answer }) => answer.status === 503 || answer.status === 429).length;
const summary = `${ended.length} requests: ${answered} answered, ${refused} refused, ` +
  `${lost.length} read, at no backend, and closed without an answer`;
setup.finish(lost.length > 0 ? 1 : 0, summary);
