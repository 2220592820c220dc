import type { IncomingMessage, ServerResponse } from "node:http";
import { listCrashEvidence } from "../quarantine/list_crash_evidence.ts";
import { CrashEvidencePurpose } from "./crash_evidence_purpose.ts";
import { decodeCrashEvidence } from "./decode_crash_evidence.ts";
import { mergeReceivedEvidence } from "./merge_received_evidence.ts";
import type { MeshNode } from "./mesh_node.ts";
import { readRequestBody } from "./read_request_body.ts";
import { reportInternalError } from "./report_internal_error.ts";

const bodyBytesMaximum = 4_194_304;
const bodyTimeoutMilliseconds = 2_000;
const okStatus = 200;
const invalidStatus = 400;

/**
 * Merges the evidence of crashes that another node sends, and replies with what
 * this node knows: of these requests, or of all for a node that has started.
 */
export function serveCrashEvidence(
  node: MeshNode,
  request: IncomingMessage,
  options: { readonly purpose: string; readonly response: ServerResponse },
): void {
  const { purpose, response } = options;
  const timeout = new AbortController();
  const timer = node.timers.at(
    node.clock.now() + bodyTimeoutMilliseconds,
    () => timeout.abort(),
  );
  response.once("close", () => timer.cancel());
  readRequestBody(request, {
    bytesMaximum: bodyBytesMaximum,
    signal: timeout.signal,
  }).then((body) => {
    if (body.isErr) {
      response.writeHead(invalidStatus, { connection: "close" }).end();
      return;
    }
    const received = decodeCrashEvidence(body.value.toString());
    mergeReceivedEvidence(node, received);
    const named = new Set(received.map(({ fingerprint }) => fingerprint));
    const known = listCrashEvidence(node.quarantine).filter(({ fingerprint }) =>
      purpose === CrashEvidencePurpose.Query || named.has(fingerprint)
    );
    response.writeHead(okStatus).end(JSON.stringify(known));
  }).catch((error: unknown) => {
    reportInternalError(node, { callIdentifier: "crash-evidence", error });
    response.destroy();
  });
}
