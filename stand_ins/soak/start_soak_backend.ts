import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import type { NetworkAddress } from "../../src/runtime/network_address.ts";
import type { RandomSource } from "../../src/runtime/random_source.ts";
import { addressReuseMilliseconds } from "./address_reuse_milliseconds.ts";
import { crashingPath } from "./crashing_path.ts";
import type { SoakBackend } from "./soak_backend.ts";
import type { SoakLimit } from "./soak_limit.ts";
import type { SoakRecord } from "./soak_record.ts";

const serviceTimeMilliseconds = 30;
const coldMilliseconds = 1_000;
const garbledShare = 0.3;
/** Time until a backend server is back that a request has crashed. */
const recoveryMilliseconds = 1_000;
const healthPath = "/healthz";

/** Starts a backend server that implements the platform's protocol and records each request that it runs. */
export async function startSoakBackend(
  options: {
    readonly address: NetworkAddress;
    readonly service: string;
    readonly record: SoakRecord;
    readonly random: RandomSource;
  },
): Promise<SoakBackend> {
  const { address, service, record, random } = options;
  let incarnation = 0;
  let currentService = service;
  let endedAt = Number.NEGATIVE_INFINITY;
  let coldUntil = 0;
  let garbling = false;
  let limit: SoakLimit | undefined;
  let isLeaving = false;
  let starting: Promise<void> | undefined;
  let closed = false;
  let server: Server = createServer(handleRequest);

  const getIdentifier = () => `i-${address.host}-${incarnation}`;

  function handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    request.resume();
    if (request.url === healthPath) {
      response.writeHead(200, {
        ...getStatementHeaders(),
        "x-cold-ms": String(Math.max(0, coldUntil - Date.now())),
      }).end();
      return;
    }
    const targetIncarnation = request.headers["x-target-instance"];
    if (
      targetIncarnation !== undefined && targetIncarnation !== getIdentifier()
    ) {
      response.writeHead(421, { "x-instance-id": getIdentifier() }).end();
      return;
    }
    const callIdentifier = String(request.headers["x-attempt-id"]);
    record.runs.push({
      callIdentifier,
      url: request.url ?? "",
      service: currentService,
      callerService: String(request.headers["x-caller-service"]),
      ...(request.headers["x-tenant"] === undefined
        ? {}
        : { organisation: String(request.headers["x-tenant"]) }),
      hasKey: request.headers["authorization"] !== undefined,
      server: getIdentifier(),
      receivedAt: Date.now(),
    });
    if (request.url?.startsWith(crashingPath)) {
      setTimeout(crashForAWhile, serviceTimeMilliseconds * random.next());
      return;
    }
    setTimeout(
      () => sendAnswer(response, callIdentifier),
      serviceTimeMilliseconds * (0.5 + random.next()),
    );
  }

  function getStatementHeaders(): Readonly<Record<string, string>> {
    return {
      "x-instance-id": getIdentifier(),
      ...(limit === undefined
        ? {}
        : { "server-limit": String(limit.callsPerSecond) }),
      ...(isLeaving ? { "server-leaving": "1" } : {}),
    };
  }

  function setLimit(callsPerSecond: number | undefined): void {
    if (limit?.callsPerSecond === callsPerSecond) return;
    const now = Date.now();
    if (limit !== undefined) limit.until = now;
    limit = callsPerSecond === undefined ? undefined : {
      server: getIdentifier(),
      callsPerSecond,
      from: now,
      until: Number.POSITIVE_INFINITY,
    };
    if (limit !== undefined) record.limits.push(limit);
  }

  async function crash(): Promise<void> {
    await starting;
    if (!server.listening) return;
    const closed = once(server, "close");
    server.close();
    server.closeAllConnections();
    setLimit(undefined);
    await closed;
    endedAt = Date.now();
  }

  /** Faults overlap, so a start may be requested while another one runs. */
  async function startAgain(): Promise<void> {
    if (server.listening || closed) return;
    starting ??= start().finally(() => {
      starting = undefined;
    });
    await starting;
  }

  async function giveAddressTo(otherService: string): Promise<void> {
    await crash();
    await delay(addressReuseMilliseconds);
    const mayBeUsed = Date.now() - endedAt >= addressReuseMilliseconds;
    if (server.listening || closed || !mayBeUsed) return;
    starting ??= start(otherService).finally(() => {
      starting = undefined;
    });
    await starting;
  }

  function crashForAWhile(): void {
    crash().then(() => setTimeout(startAgain, recoveryMilliseconds));
  }

  function sendAnswer(response: ServerResponse, callIdentifier: string): void {
    if (response.destroyed) return;
    const body = `answer to ${callIdentifier}`;
    const isGarbled = garbling && random.next() < garbledShare;
    response.writeHead(200, {
      "x-attempt-id": callIdentifier,
      "x-server-seal": "seal",
      "content-length": String(body.length),
      ...getStatementHeaders(),
    });
    if (!isGarbled) {
      response.end(body);
      return;
    }
    const socket = response.socket;
    if (random.next() < 0.5) {
      response.write(body.slice(0, 4), () => response.destroy());
      return;
    }
    response.end(body);
    const extraResponse =
      `HTTP/1.1 200 OK\r\nx-attempt-id: ${callIdentifier}\r\n` +
      `x-server-seal: seal\r\ncontent-length: 5\r\n\r\nextra`;
    setTimeout(() => socket?.write(extraResponse), random.next() * 60);
  }

  async function start(runningService = service): Promise<void> {
    incarnation += 1;
    currentService = runningService;
    isLeaving = false;
    coldUntil = Date.now() + (incarnation > 1 ? coldMilliseconds : 0);
    server = createServer(handleRequest);
    server.listen(address.port, address.host);
    await once(server, "listening");
  }

  await start();
  return {
    address,
    getService: () => currentService,
    getIdentifier,
    setGarbling: (isGarbling) => {
      garbling = isGarbling;
    },
    setLimit,
    leave: () => {
      isLeaving = true;
    },
    crash,
    start: startAgain,
    giveAddressTo,
    close: async () => {
      closed = true;
      await crash();
    },
  };
}
