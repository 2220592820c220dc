// TWICE: a late copy of the answer "not executed" to an earlier try of the same
// request is taken for the answer to the present one, which runs.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import http from "node:http";
import { delay, freePort, limits, newAttemptId, send, Setup, trouble } from "../common/lib.mjs";
import { startBackend } from "../common/backend.mjs";

/** Share of the requests that the grey backend rejects without running them. */
const shedShare = 0.05;
/** Share of the answers that are followed by a late copy. */
const extraShare = 0.03;
/** Length of both disruptions. */
const troubleMilliseconds = 5_000;
const workMilliseconds = 30;
const requestCount = 100;
const requestMilliseconds = 60;

const setup = new Setup(dirname(fileURLToPath(import.meta.url)));
const store = await setup.startStore();
const host = { vitrine: setup.host(1), encomendas: setup.host(2) };
const inbound = await freePort(host.vitrine);
const service = { healthPath: "/healthz", maxConns: 120, cold: "3s", coldPerS: 20 };
store.put("op/config", {
  version: 7,
  routes: {
    pedido: {
      host: "bolo.example",
      prefix: "/pedido/",
      kind: "non_idempotent",
      attempts: 3,
      timeout: "1500ms",
      goal: "500ms",
      priority: 1,
      service: "encomendas",
    },
  },
  services: { vitrine: service, encomendas: service },
  limits,
});

const identifier = "i-encomendas-1";
const runs = [];
let troubleUntil = 0;
let answers = 0;
let arrivals = 0;
let shed = 0;
let extras = 0;
const seen = new Set();
/** The answer of which a late copy is still to come, by connection. */
const copies = new WeakMap();
const server = http.createServer((request, response) => {
  request.resume();
  request.once("end", () => serve(request, response));
});
function serve(request, response) {
  const id = request.headers["x-attempt-id"];
  if (request.url === "/healthz") {
    response.writeHead(200, { "X-Instance-Id": identifier, "content-length": 0 });
    return response.end();
  }
  arrivals += 1;
  const copy = copies.get(request.socket);
  if (copy !== undefined) {
    copies.delete(request.socket);
    setup.record(`${identifier} sends the late copy of its answer to ${copy.id}, where the answer to ${id} is expected`);
    request.socket.write(copy.text);
  }
  const isDisturbed = trouble && Date.now() < troubleUntil;
  const isShed = isDisturbed && !seen.has(id) && shed + 1 <= (arrivals + 1) * shedShare;
  seen.add(id);
  answers += 1;
  if (isShed) {
    shed += 1;
    const text = `HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: ${id}\r\n` +
      "X-Not-Executed: 1\r\ncontent-length: 0\r\n\r\n";
    setup.record(`${identifier} answers ${id}: 503, not executed`);
    if (extras + 1 <= (answers + 1) * extraShare) {
      extras += 1;
      copies.set(request.socket, { id, text });
    }
    response.writeHead(503, { "X-Attempt-Id": id, "X-Not-Executed": "1", "content-length": 0 });
    return response.end();
  }
  runs.push(id);
  setup.record(`${identifier} runs ${id} ${request.method} ${request.url}`);
  setTimeout(() => {
    const body = `answer to ${id}`;
    response.writeHead(200, { "X-Attempt-Id": id, "X-Server-Seal": `seal-${id}`, "content-length": body.length });
    response.end(body);
  }, workMilliseconds);
}
server.keepAliveTimeout = 10_000;
const port = await setup.listen(server, host.encomendas);
store.put(`servers/${identifier}`, {
  addr: `${host.encomendas}:${port}`,
  born: Date.now(),
  info: { service: "encomendas", version: "1.0.0", zone: "sul-a", slots: 12 },
  status: { state: "ready", seq: 1, coldLeft: "0ms" },
});
const vitrine = await startBackend(setup, { host: host.vitrine, service: "vitrine", zone: "sul-a", store, slots: 12 });
const ports = async (address) => ({ inbound, outbound: await freePort(address), ready: await freePort(address) });
const nodes = {
  vitrine: await setup.startNode({ name: "sidecar-vitrine", host: host.vitrine, zone: "sul-a", service: "vitrine", backendPort: vitrine.port, storePort: store.port, ports: await ports(host.vitrine) }),
  encomendas: await setup.startNode({ name: "sidecar-encomendas", host: host.encomendas, zone: "sul-a", service: "encomendas", backendPort: port, storePort: store.port, ports: await ports(host.encomendas) }),
};
for (const node of Object.values(nodes)) await node.waitUntilReady();
await delay(1_500);

const agent = new http.Agent({ keepAlive: true });
const results = [];
troubleUntil = Date.now() + troubleMilliseconds;
for (let index = 0; index < requestCount; index += 1) {
  const id = newAttemptId("p");
  setup.record(`client sends ${id}`);
  results.push(
    send({ host: host.vitrine, port: nodes.vitrine.ports.outbound, path: "/pedido/novo", method: "POST", body: "bolo", hostHeader: "bolo.example", deadline: 3_000, id, agent })
      .then((answer) => {
        setup.record(`client gets for ${id}: ${answer.error ?? answer.status}`);
        return { id, answer };
      }),
  );
  await delay(requestMilliseconds);
}
const ended = await Promise.all(results);
await delay(500);
const countRuns = (id) => runs.filter((run) => run === id).length;
const twice = ended.filter(({ id }) => countRuns(id) > 1).length;
const refusedAndRun = ended.filter(({ id, answer }) =>
  [408, 421, 429, 503].includes(answer.status) && countRuns(id) > 0
).length;
const served = ended.filter(({ answer }) => answer.status === 200).length;
setup.finish(
  twice + refusedAndRun > 0 ? 1 : 0,
  `${ended.length} requests: ${served} answered 200, ${shed} of ${arrivals} arrivals shed, ${extras} late copies; ` +
    `${twice} requests ran twice (TWICE), ${refusedAndRun} were refused as not run and ran (REFUSED)`,
);
