import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createAnswerBody } from "../common/create_answer_body.ts";
import { createSeededRandom } from "../common/create_seeded_random.ts";
import { readBody } from "../common/read_body.ts";
import { writeJson } from "../common/write_json.ts";
import { backendServerFaultsSchema } from "./backend_server_faults_schema.ts";
import type { BackendServerSettings } from "./backend_server_settings.ts";
import { beginCall } from "./begin_call.ts";
import { countRun } from "./count_run.ts";
import { createCapacityState } from "./create_capacity_state.ts";
import { createRunCounts } from "./create_run_counts.ts";
import { endCall } from "./end_call.ts";
import { getBearableSlots } from "./get_bearable_slots.ts";
import { isCold } from "./is_cold.ts";

const slowFactor = 10;
const keepAliveMilliseconds = 60_000;
const answerBytesDefault = 256;
const rubbish = "?? this is not HTTP\r\n\r\n";

/**
 * Creates a backend server stand-in. Any path outside `/health`, `/load` and
 * `/stand-in/` is a call, answered with the body that belongs to the query's
 * `token` and `bytes`; `work` (milliseconds) replaces the drawn time of work.
 * A test steers it with `PUT /stand-in/state` (`draining`, `cold`) and
 * `PUT /stand-in/faults`, and reads `GET /stand-in/runs`.
 */
export function createBackendServer(settings: BackendServerSettings): Server {
  const random = createSeededRandom(settings.seed);
  const counts = createRunCounts();
  let capacity = createCapacityState(settings);
  let faults = backendServerFaultsSchema.parse({});

  const getState = () =>
    capacity.draining ? "draining" : isCold(capacity) ? "cold" : "ready";
  const drawWork = (url: URL) => {
    const [shortest, longest] = settings.workMilliseconds;
    const drawn = shortest + random.next() * (longest - shortest);
    return Number(url.searchParams.get("work") ?? drawn);
  };
  const answerWhole = (response: ServerResponse, body: Uint8Array) => {
    response.writeHead(200, {
      "content-type": "application/octet-stream",
      "content-length": body.length,
      "backend-server": settings.name,
    });
    response.end(body);
  };
  const answerCut = (response: ServerResponse, body: Uint8Array) => {
    response.writeHead(200, { "content-length": body.length });
    response.write(body.subarray(0, Math.floor(body.length / 2)), () => {
      response.socket?.destroy();
    });
  };
  const answer = (
    response: ServerResponse,
    body: Uint8Array,
    fault: string,
  ) => {
    if (fault === "cut") {
      answerCut(response, body);
    } else if (fault === "rubbish") {
      response.socket?.end(rubbish);
    } else {
      answerWhole(response, body);
    }
  };
  const run = (
    url: URL,
    request: IncomingMessage,
    response: ServerResponse,
  ) => {
    const begin = beginCall(capacity, Date.now());
    capacity = begin.state;
    if (!begin.taken) {
      response.setHeader("catkinquay-not-run", "true");
      writeJson(response, 503, { error: "shed" });
      return;
    }
    const token = url.searchParams.get("token") ?? "";
    const bytes = Number(url.searchParams.get("bytes") ?? answerBytesDefault);
    countRun(counts, request, token);
    const fault = counts.begun % faults.every === 0 ? faults.answers : "whole";
    let running = true;
    const free = (answeredWhole: boolean) => {
      if (running) {
        running = false;
        capacity = endCall(capacity, answeredWhole);
      }
    };
    const finish = () => {
      answer(response, createAnswerBody(token, bytes), fault);
      counts.finished += fault === "whole" || fault === "slow" ? 1 : 0;
      free(fault === "whole" || fault === "slow");
    };
    const work = drawWork(url) * (fault === "slow" ? slowFactor : 1);
    const timer = fault === "silent" ? undefined : setTimeout(finish, work);
    response.once("close", () => {
      if (running) {
        clearTimeout(timer);
        counts.cancelled += 1;
        setTimeout(() => free(false), settings.letGoMilliseconds);
      }
    });
    request.resume();
  };
  const setState = (text: string) => {
    const change = JSON.parse(text);
    capacity = {
      ...capacity,
      draining: change.draining ?? capacity.draining,
      answersSinceColdStart: change.cold === undefined
        ? capacity.answersSinceColdStart
        : change.cold
        ? 0
        : settings.warmUpAnswers,
    };
  };
  const control = async (
    name: string,
    request: IncomingMessage,
    response: ServerResponse,
  ) => {
    const body = await readBody(request);
    if (name === "GET /stand-in/runs") {
      writeJson(response, 200, {
        ...counts,
        name: settings.name,
        state: getState(),
        bearableSlots: getBearableSlots(capacity),
        running: capacity.running,
        peakRunning: capacity.peakRunning,
        overloadEvents: capacity.overloadEvents,
        falls: capacity.falls,
        shed: capacity.shed,
      });
    } else if (name === "PUT /stand-in/state") {
      setState(body);
      writeJson(response, 200, {});
    } else if (name === "PUT /stand-in/faults") {
      faults = backendServerFaultsSchema.parse(JSON.parse(body));
      writeJson(response, 200, faults);
    } else {
      writeJson(response, 404, { error: "no such control" });
    }
  };
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? "/", "http://backend-server");
    if (url.pathname === "/health") {
      writeJson(response, 200, { state: faults.reportedState ?? getState() });
    } else if (url.pathname === "/load") {
      const running = faults.reportedRunning ?? capacity.running;
      writeJson(response, 200, { running, slots: settings.slots });
    } else if (url.pathname.startsWith("/stand-in/")) {
      control(`${request.method} ${url.pathname}`, request, response).catch(
        (error: Error) => writeJson(response, 400, { error: error.message }),
      );
    } else {
      run(url, request, response);
    }
  });
  server.keepAliveTimeout = keepAliveMilliseconds;
  server.maxConnections = settings.connections;
  return server;
}
