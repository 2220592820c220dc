// A backend server as PROTOCOL.md describes it, as a process of its own. It is
// started by `fork` with its options as JSON, and reports what it receives and
// runs to its parent. Options: host, port, identifier, service, slots, workMs,
// coldMs (cold at the start), coldFactor (how much slower it is while it is cold).
import { createServer } from "node:http";

const options = JSON.parse(process.argv[2]);
const { host, port, identifier, service, slots = 6, workMs = 90 } = options;
const { coldFactor = 2 } = options;
const queueMaximum = 24;
const coldUntil = Date.now() + (options.coldMs ?? 0);
let running = 0;
const queue = [];
const report = (message) => process.send?.({ identifier, incarnation: process.pid, service, at: Date.now(), ...message });

function finish() {
  running -= 1;
  const next = queue.shift();
  if (next !== undefined) next();
}

function answer(request, response, body) {
  const attempt = request.headers["x-attempt-id"];
  const text = `${service} ${identifier} ran ${attempt} ${body.length}\n`.padEnd(1_500, ".");
  const headers = {
    "x-attempt-id": attempt,
    "x-server-seal": `seal.${identifier}`,
  };
  report({ kind: "answered", attempt });
  response.writeHead(200, { ...headers, "content-length": String(text.length) });
  response.end(text);
}

function run(request, response, body) {
  const attempt = request.headers["x-attempt-id"];
  if (response.destroyed) return;
  if (running >= slots) {
    if (queue.length < queueMaximum) {
      queue.push(() => run(request, response, body));
      return;
    }
    response.writeHead(503, { "x-not-executed": "1", "content-length": "0" }).end();
    return;
  }
  running += 1;
  report({
    kind: "ran",
    attempt,
    method: request.method,
    url: request.url,
    caller: request.headers["x-caller-service"],
    target: request.headers["x-target-instance"],
    cold: coldUntil > Date.now(),
  });
  let ended = false;
  const end = () => {
    if (ended) return;
    ended = true;
    finish();
  };
  const timer = setTimeout(() => {
    if (!response.destroyed) answer(request, response, body);
    end();
  }, workMs * (0.7 + 0.6 * Math.random()) * (coldUntil > Date.now() ? coldFactor : 1));
  response.once("close", () => {
    if (!ended) report({ kind: "dropped", attempt });
    clearTimeout(timer);
    end();
  });
}

const server = createServer((request, response) => {
  if (request.url === "/healthz") {
    request.resume();
    const cold = Math.max(0, coldUntil - Date.now());
    response.writeHead(200, {
      "x-instance-id": identifier,
      ...(cold > 0 ? { "x-cold-ms": String(cold) } : {}),
      "content-length": "0",
    }).end();
    return;
  }
  const attempt = request.headers["x-attempt-id"];
  const target = request.headers["x-target-instance"];
  if (target !== undefined && target !== identifier) {
    request.resume();
    report({ kind: "misdirected", attempt, target });
    response.writeHead(421, { "x-instance-id": identifier, "content-length": "0" }).end();
    return;
  }
  if (attempt === undefined) {
    request.resume();
    response.writeHead(400, { "x-not-executed": "1", "content-length": "0" }).end();
    return;
  }
  // Sent and arrived: what counts against a cold backend server.
  report({ kind: "arrived", attempt, cold: coldUntil > Date.now() });
  const parts = [];
  request.on("data", (part) => parts.push(part));
  request.on("end", () => run(request, response, Buffer.concat(parts)));
  request.on("error", () => undefined);
});
server.keepAliveTimeout = 10_000;
server.requestTimeout = 0;
server.listen(port, host, () => report({ kind: "listening" }));
process.on("disconnect", () => process.exit(0));
