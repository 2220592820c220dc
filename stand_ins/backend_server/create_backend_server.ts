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
import { getUsableSlots } from "./get_usable_slots.ts";
import { isCold } from "./is_cold.ts";

const slowFactor = 10;
const keepAliveTimeoutMilliseconds = 60_000;
const defaultAnswerBytes = 256;
const malformedResponse = "?? this is not HTTP\r\n\r\n";

/**
 * Creates a backend server stand-in that does not listen yet. A request to any
 * path except `/health`, `/load` and `/stand-in/` is a call. Its answer is the
 * body that `createAnswerBody` returns for the query parameters `token` and
 * `bytes`; the parameter `work` (milliseconds) replaces the drawn service time.
 * Tests control the stand-in with `PUT /stand-in/state` (`draining`, `cold`)
 * and `PUT /stand-in/faults`, and read its counts with `GET /stand-in/runs`.
 */
export function createBackendServer(settings: BackendServerSettings): Server {
  const random = createSeededRandom(settings.seed);
  const counts = createRunCounts();
  let capacity = createCapacityState(settings);
  let faults = backendServerFaultsSchema.parse({});

  const getState = () =>
    capacity.draining ? "draining" : isCold(capacity) ? "cold" : "ready";
  const drawServiceTime = (url: URL) => {
    const [shortest, longest] = settings.workMilliseconds;
    const drawnServiceTime = shortest + random.next() * (longest - shortest);
    return Number(url.searchParams.get("work") ?? drawnServiceTime);
  };
  const sendCompleteAnswer = (response: ServerResponse, body: Uint8Array) => {
    response.writeHead(200, {
      "content-type": "application/octet-stream",
      "content-length": body.length,
      "backend-server": settings.name,
    });
    response.end(body);
  };
  const sendTruncatedAnswer = (response: ServerResponse, body: Uint8Array) => {
    response.writeHead(200, { "content-length": body.length });
    response.write(body.subarray(0, Math.floor(body.length / 2)), () => {
      response.socket?.destroy();
    });
  };
  const sendAnswer = (
    response: ServerResponse,
    body: Uint8Array,
    fault: string,
  ) => {
    if (fault === "cut") {
      sendTruncatedAnswer(response, body);
    } else if (fault === "rubbish") {
      response.socket?.end(malformedResponse);
    } else {
      sendCompleteAnswer(response, body);
    }
  };
  const handleCall = (
    url: URL,
    request: IncomingMessage,
    response: ServerResponse,
  ) => {
    const admission = beginCall(capacity, Date.now());
    capacity = admission.state;
    if (!admission.admitted) {
      response.setHeader("catkinquay-not-run", "true");
      writeJson(response, 503, { error: "shed" });
      return;
    }
    const token = url.searchParams.get("token") ?? "";
    const bytes = Number(url.searchParams.get("bytes") ?? defaultAnswerBytes);
    countRun(counts, request, token);
    const fault = counts.begun % faults.every === 0 ? faults.answers : "whole";
    let occupiesSlot = true;
    const releaseSlot = (isAnswerComplete: boolean) => {
      if (occupiesSlot) {
        occupiesSlot = false;
        capacity = endCall(capacity, isAnswerComplete);
      }
    };
    const finishCall = () => {
      sendAnswer(response, createAnswerBody(token, bytes), fault);
      counts.finished += fault === "whole" || fault === "slow" ? 1 : 0;
      releaseSlot(fault === "whole" || fault === "slow");
    };
    const serviceTimeMilliseconds = drawServiceTime(url) *
      (fault === "slow" ? slowFactor : 1);
    const timer = fault === "silent"
      ? undefined
      : setTimeout(finishCall, serviceTimeMilliseconds);
    response.once("close", () => {
      if (occupiesSlot) {
        clearTimeout(timer);
        counts.cancelled += 1;
        setTimeout(() => releaseSlot(false), settings.letGoMilliseconds);
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
  const handleControlRequest = async (
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
        bearableSlots: getUsableSlots(capacity),
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
      handleControlRequest(
        `${request.method} ${url.pathname}`,
        request,
        response,
      ).catch(
        (error: Error) => writeJson(response, 400, { error: error.message }),
      );
    } else {
      handleCall(url, request, response);
    }
  });
  server.keepAliveTimeout = keepAliveTimeoutMilliseconds;
  server.maxConnections = settings.connections;
  return server;
}
