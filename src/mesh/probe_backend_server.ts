import { type IncomingMessage, request as sendRequest } from "node:http";
import { match } from "ts-pattern";
import { HolderKind } from "../address_holder/holder_kind.ts";
import { ServerCondition } from "../gate/server_condition.ts";
import type { ClockReading } from "../runtime/clock_reading.ts";
import { applyProbeAnswer } from "./apply_probe_answer.ts";
import { createAnswerCheck } from "./create_answer_check.ts";
import { destroyOnReset } from "./destroy_on_reset.ts";
import { discardBody } from "./discard_body.ts";
import { limitReceivedBytes } from "./limit_received_bytes.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { ProbeAnswer } from "./probe_answer.ts";
import { readClocks } from "./read_clocks.ts";
import { recordAddressHolder } from "./record_address_holder.ts";
import { setServerCondition } from "./set_server_condition.ts";
import { trackConnection } from "./track_connection.ts";
import { updateAddressHolder } from "./update_address_holder.ts";
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
export function probeBackendServer(
  node: MeshNode,
  options: {
    /** Called when the answer has been recorded, or there was none. */
    readonly onEnd?: () => void;
  } = {},
): void {
  const { serverProbe, settings } = node;
  const now = node.clock.now();
  if (serverProbe.probing || now < serverProbe.nextProbeAt) return;
  serverProbe.probing = true;
  serverProbe.probedAt = now;
  const requestedAt = readClocks(node);
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
  const isProperAnswer = createAnswerCheck(outgoing);
  let whenHandled = Promise.resolve();
  outgoing.once("response", (answer: IncomingMessage) => {
    if (isProperAnswer(answer)) {
      whenHandled = handleProbeAnswer(node, { answer, requestedAt });
    } else {
      outgoing.destroy();
    }
  });
  outgoing.on("error", () => {
    // A backend server that accepts a connection but does not answer may be
    // busy.
    if (connection.isConnected()) return;
    serverProbe.unconfirmedAnswer = undefined;
    setServerCondition(node, ServerCondition.Down);
  });
  outgoing.once("close", () => {
    timer.cancel();
    void whenHandled.then(() => {
      scheduleNextProbe(node);
      options.onEnd?.();
    });
  });
  outgoing.end();
}

function scheduleNextProbe({ serverProbe, gate, clock }: MeshNode): void {
  serverProbe.probing = false;
  const isDown = gate.condition === ServerCondition.Down &&
    serverProbe.unconfirmedAnswer === undefined;
  const interval = isDown ? downIntervalMilliseconds : upIntervalMilliseconds;
  serverProbe.nextProbeAt = clock.now() + interval;
}

/** An answer that breaks off shows nothing. */
async function handleProbeAnswer(
  node: MeshNode,
  options: {
    readonly answer: IncomingMessage;
    readonly requestedAt: ClockReading;
  },
): Promise<void> {
  const { answer, requestedAt } = options;
  const head = node.dialect.readBackendAnswerHead(answer);
  destroyOnReset(answer);
  if (!await discardBody(node, answer)) return;
  const { identifier } = head;
  if (identifier === undefined) {
    node.addressHolder.rejectedIdentifier = undefined;
    updateAddressHolder(node);
  } else {
    recordAddressHolder(node, { identifier, requestedAt });
  }
  useProbeAnswer(node, { head, answeredAt: node.clock.now() });
  updateGate(node);
}

/**
 * Uses an answer only if the backend server that gave it belongs to the node's
 * service, or has not named itself and no other one is known to be there.
 */
function useProbeAnswer(node: MeshNode, answer: ProbeAnswer): void {
  const { addressHolder, serverProbe } = node;
  serverProbe.unconfirmedAnswer = undefined;
  match(addressHolder.kind)
    .with(
      HolderKind.Own,
      HolderKind.Unseen,
      () => applyProbeAnswer(node, answer),
    )
    .with(HolderKind.Foreign, HolderKind.Unlisted, () => {
      serverProbe.unconfirmedAnswer = answer;
    })
    .exhaustive();
}
