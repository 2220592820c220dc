import type { IncomingMessage } from "node:http";
import type { BackendAnswerHead } from "./backend_answer_head.ts";
import type { BackendRequestContext } from "./backend_request_context.ts";
import type { CallerHead } from "./caller_head.ts";

/** Translates between the mesh and the headers that callers and backend servers use. */
export interface CallDialect {
  readCallerHead(request: IncomingMessage): CallerHead;
  /** Returns `headers` (names and values in turn) with the mesh's own marks for a backend server. */
  markBackendRequest(
    headers: readonly string[],
    context: BackendRequestContext,
  ): string[];
  readBackendAnswerHead(answer: IncomingMessage): BackendAnswerHead;
}
