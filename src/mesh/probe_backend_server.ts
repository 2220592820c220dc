import { type IncomingMessage, request as sendRequest } from "node:http";
import type { BackendAnswerHead } from "./backend_answer_head.ts";
import { ServerCondition } from "../gate/server_condition.ts";
import type { MeshNode } from "./mesh_node.ts";
import { setServerCondition } from "./set_server_condition.ts";
import { updateGate } from "./update_gate.ts";
import { watchConnect } from "./watch_connect.ts";

/** A check may wait for a slot like any other request. */
const answerMilliseconds = 2_000;
const soundIntervalMilliseconds = 2_000;
const downIntervalMilliseconds = 200;
/** Health path of a service that no rules name yet. */
const defaultHealthPath = "/healthz";

/** Checks the backend server where a check is due: whether it accepts connections, who it is, how cold. */
export function probeBackendServer(node: MeshNode): void {
  const { serverWatch, settings } = node;
  const now = node.clock.now();
  if (serverWatch.probing || now < serverWatch.nextProbeAt) return;
  serverWatch.probing = true;
  serverWatch.probedAt = now;
  const path = node.view.rules?.services.get(settings.service)?.healthPath ??
    defaultHealthPath;
  const outgoing = sendRequest({
    agent: node.backendAgent,
    host: settings.backendServer.host,
    port: settings.backendServer.port,
    path,
  });
  const timer = node.timers.at(
    now + answerMilliseconds,
    () => outgoing.destroy(),
  );
  const connection = watchConnect(outgoing);
  outgoing.once("response", (answer: IncomingMessage) => {
    answer.resume();
    takeProbeAnswer(node, node.dialect.readBackendAnswerHead(answer));
  });
  outgoing.on("error", () => {
    // One that accepts a connection and does not answer may be busy.
    if (!connection.isConnected()) {
      setServerCondition(node, ServerCondition.Down);
    }
  });
  outgoing.once("close", () => {
    timer.cancel();
    serverWatch.probing = false;
    const interval = node.gate.condition === ServerCondition.Down
      ? downIntervalMilliseconds
      : soundIntervalMilliseconds;
    serverWatch.nextProbeAt = node.clock.now() + interval;
  });
  outgoing.end();
}

function takeProbeAnswer(node: MeshNode, head: BackendAnswerHead): void {
  const { gate, serverWatch } = node;
  setServerCondition(node, ServerCondition.Up);
  if (head.identifier !== undefined) {
    serverWatch.probedIdentifier = head.identifier;
  }
  if (head.coldMilliseconds !== undefined) {
    gate.coldUntil = node.clock.now() + head.coldMilliseconds;
  }
  updateGate(node);
}
