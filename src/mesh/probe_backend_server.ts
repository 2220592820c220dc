import { type IncomingMessage, request as sendRequest } from "node:http";
import { ServerCondition } from "../gate/server_condition.ts";
import type { BackendAnswerHead } from "./backend_answer_head.ts";
import { limitReceivedBytes } from "./limit_received_bytes.ts";
import type { MeshNode } from "./mesh_node.ts";
import { recordProbedIdentifier } from "./record_probed_identifier.ts";
import { recordServerStatement } from "./record_server_statement.ts";
import { setServerCondition } from "./set_server_condition.ts";
import { trackConnection } from "./track_connection.ts";
import { updateGate } from "./update_gate.ts";

/** A probe may wait for a slot of the backend server like any other request. */
const answerTimeoutMilliseconds = 2_000;
const answerBytesMaximum = 65_536;
const upIntervalMilliseconds = 2_000;
const downIntervalMilliseconds = 200;
/** Health path of a service that is not in the rules yet. */
const defaultHealthPath = "/healthz";

/**
 * Probes the backend server if a probe is due: whether it accepts connections,
 * which incarnation it is, and how long its cold start lasts.
 */
export function probeBackendServer(node: MeshNode): void {
  const { serverProbe, settings } = node;
  const now = node.clock.now();
  if (serverProbe.probing || now < serverProbe.nextProbeAt) return;
  serverProbe.probing = true;
  serverProbe.probedAt = now;
  const path = node.view.rules?.services.get(settings.service)?.healthPath ??
    defaultHealthPath;
  const outgoing = sendRequest({
    agent: node.probeAgent,
    host: settings.backendServer.host,
    port: settings.backendServer.port,
    path,
  });
  const timer = node.timers.at(
    now + answerTimeoutMilliseconds,
    () => outgoing.destroy(),
  );
  limitReceivedBytes(outgoing, { bytesMaximum: answerBytesMaximum });
  const connection = trackConnection(outgoing);
  outgoing.once("response", (answer: IncomingMessage) => {
    answer.resume();
    handleProbeAnswer(node, node.dialect.readBackendAnswerHead(answer));
  });
  outgoing.on("error", () => {
    // A backend server that accepts a connection but does not answer may be
    // busy.
    if (!connection.isConnected()) {
      setServerCondition(node, ServerCondition.Down);
    }
  });
  outgoing.once("close", () => {
    timer.cancel();
    serverProbe.probing = false;
    const interval = node.gate.condition === ServerCondition.Down
      ? downIntervalMilliseconds
      : upIntervalMilliseconds;
    serverProbe.nextProbeAt = node.clock.now() + interval;
  });
  outgoing.end();
}

function handleProbeAnswer(node: MeshNode, head: BackendAnswerHead): void {
  const { gate } = node;
  setServerCondition(node, ServerCondition.Up);
  if (head.identifier !== undefined) {
    recordProbedIdentifier(node, head.identifier);
  }
  recordServerStatement(node, head, { ranSince: undefined });
  if (head.coldMilliseconds !== undefined) {
    gate.coldUntil = node.clock.now() + head.coldMilliseconds;
  }
  updateGate(node);
}
