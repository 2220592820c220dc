import type { IncomingMessage, ServerResponse } from "node:http";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { createCallIdentifier } from "./create_call_identifier.ts";
import { createEarlyRefusal } from "./create_early_refusal.ts";
import type { MeshNode } from "./mesh_node.ts";
import { reportCallResult } from "./report_call_result.ts";
import { writeCallResult } from "./write_call_result.ts";

/** Refuses a request behind too many others; its refusal follows their answers. */
export function refuseOutOfTurn(
  node: MeshNode,
  options: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly receivedAt: number;
  },
): void {
  const { request, response, receivedAt } = options;
  request.resume();
  const result = createEarlyRefusal(RefusalReason.Full);
  writeCallResult(response, result, { closing: false, now: receivedAt });
  const { callIdentifier = createCallIdentifier() } = node.dialect
    .readCallerHead(request);
  reportCallResult(node, result, {
    callIdentifier,
    receivedAt,
    plan: undefined,
  });
}
