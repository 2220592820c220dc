// Helpers of the cases 6 and up: settings, nodes, the platform's store, backends and
// clients. Everything runs on loopback addresses with the real clock.
import { spawn } from "node:child_process";
import { createServer, request as httpRequest, Agent } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { randomBytes } from "node:crypto";

export const root = dirname(dirname(dirname(fileURLToPath(import.meta.url))));
export const trouble = process.env.TROUBLE !== "0";
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const startedAt = performance.now();
export const now = () => performance.now() - startedAt;
const lines = [];

/** Adds a line to the record, with the time since the start in milliseconds. */
export function record(text) {
  lines.push(`${now().toFixed(0).padStart(7)} ${text}`);
}

export function writeRecord(folder) {
  writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`);
}

const children = new Set();
const folder = mkdtempSync(join(tmpdir(), "review-"));

/** Ends what this script started and exits. */
export async function finish(caseFolder, status, text) {
  record(`verdict ${status}: ${text}`);
  console.log(`${status === 1 ? "BROKEN" : status === 0 ? "held" : "not run"}: ${text}`);
  children.forEach((child) => child.kill("SIGKILL"));
  await sleep(100);
  rmSync(folder, { recursive: true, force: true });
  writeRecord(caseFolder);
  process.exit(status);
}

export function guard(caseFolder, main) {
  const timer = setTimeout(() => finish(caseFolder, 2, "took longer than 115 s"), 115_000);
  timer.unref();
  for (const name of ["SIGINT", "SIGTERM"]) {
    process.on(name, () => finish(caseFolder, 2, `stopped by ${name}`));
  }
  process.on("uncaughtException", (error) => {
    if (["ECONNRESET", "EPIPE"].includes(error.code)) return;
    record(`error ${error.stack}`);
    void finish(caseFolder, 2, String(error));
  });
  main().catch((error) => {
    record(`error ${error.stack}`);
    return finish(caseFolder, 2, String(error));
  });
}

/** A part of 127/8 of this run's own, so that all machines can have the same ports. */
const network = `127.${16 + randomBytes(1)[0] % 200}.${randomBytes(1)[0]}`;
export const address = (number) => `${network}.${number}`;

function canBind(host, port) {
  return new Promise((resolve) => {
    const server = createTcpServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

export async function requireFreePorts(hosts, ports) {
  for (const host of hosts) {
    for (const port of ports) {
      if (!await canBind(host, port)) throw new Error(`${host}:${port} is in use`);
    }
  }
}

export const ports = {
  inbound: 8300,
  app: 8301,
  ready: 8302,
  outbound: 8304,
  store: 8309,
  metrics: 9464,
};

/** The values of the site; those of bolofesta-sul and kolorete-mesh differ in one only. */
const bounds = (retrySlack) => `bounds.seedLag=3s
bounds.reuseAfter=2s
bounds.contact=3000ms
bounds.ack=4000ms
bounds.catchup=4s
bounds.drain=2000ms
bounds.grace=6s
bounds.lossSlack=200ms
bounds.configApply=2000ms
bounds.rollbackSlack=250ms
bounds.skewMax=5000ms
bounds.retryRatio=0.2
bounds.retryWindow=10s
bounds.retrySlack=${retrySlack}
bounds.coldFactor=1.5
bounds.coldSlack=5
bounds.evacuate=5000ms
bounds.recovery=15s`;

export function settingsText({ name, zone, ip, service, storeHost, storePort, zones, retrySlack = 60 }) {
  return `node=${name}
role=node
machineClass=sidecar
serves=sidecar
ip=${ip}
zone=${zone}
region=sul
${zones.map((each) => `zones.${each}=sul`).join("\n")}
listen.inbound=${ip}:${ports.inbound}
listen.outbound=${ip}:${ports.outbound}
listen.ready=${ip}:${ports.ready}
portRange=7620,7635
seeds=
bootstrap=true
countsAsLoss=false
limits.cpuShare=0.54
limits.cores=1
limits.ramMb=350
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=static
heartbeat=1500ms
contracts=base,drain,config,cost,retry,recover,places,platform
faultTolerance.machines=2
faultTolerance.zones=1
faultTolerance.regions=0
${bounds(retrySlack)}
appAddr=${ip}:${ports.app}
service=${service}
provider.addr=${storeHost}:${storePort}
provider.form=read
provider.writesPerS=400
provider.readsPerS=2000
provider.history=20s
provider.valueBytes=1048576
provider.minTtl=1000ms
`;
}

/** The words of the line `run` of the deploy file. */
function runWords() {
  const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** Starts the node of a machine as the deploy file says. */
export function startNode(machine) {
  const path = join(folder, `${machine.name}.conf`);
  writeFileSync(path, settingsText(machine));
  const [program, ...words] = runWords();
  const child = spawn(program, words, {
    cwd: root,
    env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? "C", CATKINQUAY_CONFIG: path },
    stdio: ["ignore", "pipe", "pipe"],
  });
  children.add(child);
  const node = { child, machine, log: [], exited: undefined };
  let rest = "";
  child.stdout.on("data", (bytes) => {
    const parts = (rest + bytes).split("\n");
    rest = parts.pop();
    node.log.push(...parts.map((text) => ({ at: now(), text })));
  });
  child.stderr.on("data", (bytes) => node.log.push({ at: now(), text: `stderr ${bytes}` }));
  child.once("exit", (code, signal) => {
    children.delete(child);
    node.exited = { code, signal, at: now() };
    record(`node ${machine.name} ended: code ${code}, signal ${signal}`);
  });
  record(`node ${machine.name} started, process ${child.pid}`);
  return node;
}

export async function waitUntil(check, what, milliseconds = 15_000) {
  const latest = now() + milliseconds;
  while (now() < latest) {
    if (await check()) return;
    await sleep(50);
  }
  throw new Error(`waited too long for ${what}`);
}

export const isReady = (ip) =>
  new Promise((resolve) => {
    const request = httpRequest({ host: ip, port: ports.ready, path: "/readyz", agent: false, timeout: 500 }, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.on("timeout", () => request.destroy());
    request.on("error", () => resolve(false));
    request.end();
  });

/** The platform's store, as PROTOCOL.md describes it: kv-key, kv-range and kv-watch. */
export async function startStore(host, port) {
  const items = new Map();
  let history = [];
  let revision = 1;
  const watches = new Set();
  const store = {
    /** After so many milliseconds of waiting, a watch is cut; undefined for never. */
    cutWatchesAfter: undefined,
    /** How long the history reaches back, in milliseconds: `provider.history`. */
    historyMilliseconds: 20_000,
    reads: 0,
    cuts: 0,
    put(key, value) {
      revision += 1;
      const text = typeof value === "string" ? value : JSON.stringify(value);
      const item = { key, value: Buffer.from(text).toString("base64"), rev: revision, created: items.get(key)?.created ?? revision, lease: 0 };
      items.set(key, item);
      change(item);
    },
    remove(key) {
      if (!items.delete(key)) return;
      revision += 1;
      change({ key, rev: revision, removed: true });
    },
    has: (key) => items.has(key),
  };

  let compactedRevision = 0;

  function change(event) {
    history.push({ ...event, at: now() });
    for (const watch of [...watches]) answerWatch(watch);
  }

  function send(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text), "store-era": "1" });
    response.end(text);
  }

  function answerWatch(watch) {
    const kept = history.filter(({ at }) => at > now() - store.historyMilliseconds);
    if (kept.length < history.length) compactedRevision = history[history.length - kept.length - 1].rev;
    history = kept;
    if (watch.after < compactedRevision) {
      watches.delete(watch);
      clearTimeout(watch.timer);
      clearTimeout(watch.cut);
      return send(watch.response, 410, {});
    }
    const events = history.filter(({ key, rev }) => rev > watch.after && key.startsWith(watch.prefix))
      .map(({ at: _at, ...event }) => event);
    if (events.length === 0) return;
    watches.delete(watch);
    clearTimeout(watch.timer);
    clearTimeout(watch.cut);
    send(watch.response, 200, { events, currentRev: revision });
  }

  const server = createServer((request, response) => {
    store.reads += 1;
    setTimeout(() => handle(new URL(request.url, "http://store"), response), 4);
  });
  server.keepAliveTimeout = 60_000;

  function handle(url, response) {
    const prefix = url.searchParams.get("prefix") ?? "";
    if (url.pathname === "/kv-range") {
      const after = url.searchParams.get("after") ?? "";
      const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1);
      return send(response, 200, { items: found.slice(0, 500), hasMore: found.length > 500, currentRev: revision });
    }
    if (url.pathname === "/kv-watch") {
      const watch = { prefix, after: Number(url.searchParams.get("after")), response };
      watches.add(watch);
      watch.timer = setTimeout(() => {
        if (!watches.delete(watch)) return;
        clearTimeout(watch.cut);
        send(response, 200, { events: [], currentRev: revision });
      }, Math.min(30_000, Number(url.searchParams.get("waitMs"))));
      if (store.cutWatchesAfter !== undefined) {
        watch.cut = setTimeout(() => {
          if (!watches.delete(watch)) return;
          clearTimeout(watch.timer);
          store.cuts += 1;
          record("store cuts a waiting watch");
          response.destroy();
        }, store.cutWatchesAfter);
      }
      response.once("close", () => {
        clearTimeout(watch.timer);
        clearTimeout(watch.cut);
        watches.delete(watch);
      });
      return answerWatch(watch);
    }
    const item = items.get(url.searchParams.get("key") ?? "");
    return item === undefined ? send(response, 404, {}) : send(response, 200, { ...item, currentRev: revision });
  }

  server.listen(port, host);
  await new Promise((resolve) => server.once("listening", resolve));
  return store;
}

/**
 * A backend server as PROTOCOL.md describes it: slots and a queue, X-Target-Instance,
 * X-Not-Executed, X-Attempt-Id, X-Server-Seal, health answers and heartbeats.
 */
export function createBackend({ id, service, zone, ip, store, workMs = 100, slots = 12, queue = 48 }) {
  let running = 0;
  let waiting = [];
  let sequence = 0;
  const backend = {
    id, service, zone, ip,
    born: Date.now(),
    state: "ready",
    coldUntil: 0,
    arrivals: [],
    runs: [],
    open: true,
    workMs,
  };
  const coldLeft = () => Math.max(0, Math.round(backend.coldUntil - now()));

  function finishOne() {
    running -= 1;
    const next = waiting.shift();
    if (next !== undefined) next();
  }

  function withSlot(action, reject) {
    if (running < slots) {
      running += 1;
      return action();
    }
    if (waiting.length >= queue) return reject();
    waiting.push(() => {
      running += 1;
      action();
    });
  }

  const server = createServer({ requestTimeout: 0 }, (request, response) => {
    if (request.url === "/healthz") {
      withSlot(() => {
        setTimeout(() => {
          finishOne();
          const good = backend.state === "ready" && !backend.leaving;
          response.writeHead(good ? 200 : 503, {
            "x-instance-id": id, "content-length": 0, "keep-alive": "timeout=10",
            ...(coldLeft() > 0 ? { "x-cold-ms": String(coldLeft()) } : {}),
          });
          response.end();
        }, 6);
      }, () => response.writeHead(503, { "x-instance-id": id, "x-not-executed": "1", "content-length": 0 }).end());
      return;
    }
    const attempt = request.headers["x-attempt-id"];
    const arrivedAt = now();
    const target = request.headers["x-target-instance"];
    const echo = attempt === undefined ? {} : { "x-attempt-id": attempt };
    request.resume();
    if (target !== undefined && target !== id) {
      record(`backend ${id} answers 421 to ${attempt}`);
      response.writeHead(421, { ...echo, "x-instance-id": id, "content-length": 0 }).end();
      return;
    }
    backend.arrivals.push({ at: arrivedAt, attempt });
    request.once("end", () =>
      withSlot(() => {
        backend.runs.push({ at: now(), attempt });
        setTimeout(() => {
          finishOne();
          const body = `answer of ${id} to ${attempt}`;
          response.writeHead(200, { ...echo, "x-server-seal": `seal-${id}`, "content-length": Buffer.byteLength(body), "keep-alive": "timeout=10" });
          response.end(body);
        }, backend.workMs);
      }, () => response.writeHead(503, { ...echo, "x-not-executed": "1", "content-length": 0 }).end()));
  });
  server.keepAliveTimeout = 10_000;
  server.headersTimeout = 60_000;

  /** A heartbeat. One with which nothing but its number has changed leaves the entry as it is. */
  let written;
  backend.beat = () => {
    sequence += 1;
    const entry = {
      addr: `${ip}:${ports.app}`, born: backend.born,
      info: { service, version: "v1", zone, slots },
      status: { state: backend.state, seq: sequence, coldLeft: `${coldLeft()}ms` },
    };
    const text = JSON.stringify({ ...entry, status: { ...entry.status, seq: 0 } });
    if (text === written && store.has(`servers/${id}`)) return;
    written = text;
    store.put(`servers/${id}`, entry);
  };
  let timer;
  backend.start = async () => {
    server.listen(ports.app, ip);
    await new Promise((resolve) => server.once("listening", resolve));
    backend.beat();
    timer = setInterval(backend.beat, 1500);
  };
  backend.stopBeats = () => clearInterval(timer);
  backend.unregister = () => {
    clearInterval(timer);
    store.remove(`servers/${id}`);
  };
  return backend;
}

/** A configuration as the operator writes it. */
export function createConfig(version, { routes, services, limits = {} }) {
  return {
    version,
    routes: Object.fromEntries(routes.map((route) => [route.name, {
      host: route.host, prefix: route.prefix, kind: route.kind, timeout: route.timeout ?? "1200ms",
      goal: route.goal ?? "400ms", priority: 1, service: route.service, attempts: route.attempts ?? 2,
    }])),
    services: Object.fromEntries(services.map((name) => [name, {
      healthPath: "/healthz", maxConns: 120, proto: "h1", tls: false, cold: "3s", coldPerS: 14.0,
    }])),
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 67108864, headerTimeout: "3000ms", idleTimeout: "15000ms", ...limits },
  };
}

/** Sends one client attempt; resolves with status, headers and body, or with an error. */
export function send({ ip, host, path, method = "GET", deadline = 2500, body, agent = false, id = randomBytes(8).toString("hex") }) {
  return new Promise((resolve) => {
    const sentAt = now();
    const request = httpRequest({
      host: ip, port: ports.outbound, method, path, agent,
      headers: {
        host, "x-attempt-id": id, "x-deadline-ms": String(deadline),
        ...(body === undefined ? {} : { "content-length": String(body.length) }),
      },
    });
    const timer = setTimeout(() => {
      request.destroy();
      end({ status: 0, error: "deadline of the client" });
    }, deadline);
    let ended = false;
    function end(result) {
      if (ended) return;
      ended = true;
      clearTimeout(timer);
      resolve({ id, sentAt, endedAt: now(), reused: request.reusedSocket, ...result });
    }
    request.once("response", (response) => {
      const parts = [];
      response.on("data", (part) => parts.push(part));
      response.once("end", () => end({ status: response.statusCode, headers: response.headers, body: Buffer.concat(parts).toString() }));
      response.once("error", (error) => end({ status: 0, error: `answer broke off: ${error.code ?? error.message}` }));
      response.once("aborted", () => end({ status: 0, error: "answer broke off" }));
    });
    request.on("error", (error) => end({ status: 0, error: error.code ?? error.message }));
    request.end(body);
  });
}

export const createAgent = () => new Agent({ keepAlive: true });
