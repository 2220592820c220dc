/**
 * The plain node, the baseline of the measurements: a node that watches the
 * platform itself and forwards each call to a randomly chosen backend server,
 * without admission, peers or retries. It accepts the settings of a node and
 * serves the operators' paths that the measurements read.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { parseArgs } from "node:util";
import type { Pool } from "undici";
import { Outcome } from "../../src/calls/outcome.ts";
import { parseNodeSettings } from "../../src/daemon/parse_node_settings.ts";
import { announceListening } from "../../stand_ins/common/announce_listening.ts";
import { writeJson } from "../../stand_ins/common/write_json.ts";
import { expectOk } from "../expect_ok.ts";
import { chooseBackendServer } from "./choose_backend_server.ts";
import { findRoute } from "./find_route.ts";
import { forwardCall } from "./forward_call.ts";
import type { PlainNodeState } from "./plain_node_state.ts";
import { sendRefusal } from "./send_refusal.ts";
import { watchPlatform } from "./watch_platform.ts";

const { values } = parseArgs({
  options: { settings: { type: "string" } },
  allowPositionals: true,
});
const path = values.settings ?? "";
const settings = expectOk(parseNodeSettings(readFileSync(path, "utf8"), path));
const state: PlainNodeState = {
  snapshot: undefined,
  appliedAt: undefined,
  revision: undefined,
  platformReads: 0,
  bytesSent: 0,
  bytesReceived: 0,
  messagesReceived: 0,
};
const pools = new Map<string, Pool>();

function handleCall(request: IncomingMessage, response: ServerResponse): void {
  const snapshot = state.snapshot;
  const route = snapshot === undefined
    ? undefined
    : findRoute(snapshot, request.url ?? "/");
  const backendServer = snapshot === undefined || route === undefined
    ? undefined
    : chooseBackendServer(snapshot, {
      service: route.service,
      random: Math.random(),
    });
  if (route === undefined || backendServer === undefined) {
    sendRefusal(response, { outcome: Outcome.NotRun, reason: "no-route" });
    return;
  }
  forwardCall(request, response, {
    backendServer,
    pools,
    deadlineMilliseconds: route.deadlineMilliseconds,
  });
}

function handleOperatorRequest(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  if (request.url === "/health") {
    writeJson(response, 200, {
      live: true,
      ready: state.snapshot !== undefined,
    });
    return;
  }
  writeJson(response, 200, {
    version: state.snapshot?.version ?? null,
    distribution: {
      appliedAt: state.appliedAt,
      platformReads: state.platformReads,
      controlBytesSent: state.bytesSent,
      controlBytesReceived: state.bytesReceived,
      controlMessagesSent: state.platformReads,
      controlMessagesReceived: state.messagesReceived,
    },
  });
}

const operatorServer = createServer(handleOperatorRequest);
const callerServer = createServer(handleCall);
announceListening(callerServer);
operatorServer.listen(settings.listeners.operators);
callerServer.listen(settings.listeners.callers);
watchPlatform(settings.platform, state);
